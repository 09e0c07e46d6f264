package control

import "parsleyramp/internal/closing"

// sectionCache holds parsed sections, so that the leader does not parse all of them
// in every pass.
var sectionCache closing.Cache

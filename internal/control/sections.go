package control

import "parsleyramp/internal/desired"

// sectionCache holds parsed sections, so that the leader does not parse all of them
// in every pass.
var sectionCache desired.Cache

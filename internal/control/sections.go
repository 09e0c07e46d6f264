package control

import "parsleyramp/internal/closing"

// sectionCache saves the leader from parsing every section in every pass.
var sectionCache closing.Cache

package control

import "parsleyramp/internal/closing"

// parsedSections spares the leader from parsing every section at every look
// at the plan.
var sectionCache closing.Cache

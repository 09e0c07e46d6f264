package entry

import "parsleyramp/internal/desired"

// sectionCache holds parsed sections, because most changes of the view do not
// change any section.
var sectionCache desired.Cache

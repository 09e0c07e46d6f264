package entry

import "parsleyramp/internal/closing"

// sectionCache holds parsed sections, because most changes of the view do not
// change any section.
var sectionCache closing.Cache

package entry

import "parsleyramp/internal/closing"

// parsedSections caches parsed sections, because most changes of the view do not
// change any section.
var parsedSections closing.Cache

package entry

import "parsleyramp/internal/closing"

// parsedSections spares an entry from parsing every section at every change of
// the view, most of which change no section.
var parsedSections closing.Cache

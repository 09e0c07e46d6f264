package fleetcontrol

import "parsleyramp/internal/document"

// declaredModels holds the names of the models that a document declares.
type declaredModels struct {
	doc   *document.Document
	names map[string]bool
}

// declaresModel reports whether a service declares the model. Clients choose the names of models, so that nothing is
// remembered of one that no service declares and no engine can load. l.mu must be held.
func (l *leaderState) declaresModel(name string) bool {
	if l.doc == nil {
		return false
	}
	if l.models.doc != l.doc {
		l.models = declaredModels{doc: l.doc, names: map[string]bool{}}
		for i := range l.doc.Services {
			if e := l.doc.Services[i].Engine; e != nil {
				for _, m := range e.Models {
					l.models.names[m.Name] = true
				}
			}
		}
	}
	return l.models.names[name]
}

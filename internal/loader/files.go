package loader

import "lentilwood.example/lentilwood/internal/parser"

// ConfigurationChecker checks the content of a fleet configuration document.
type ConfigurationChecker func(file string, data []byte) parser.Findings

// CheckFile checks one settings file of any kind. Documents of the kind
// "configuration" are passed to check.
func CheckFile(file string, check ConfigurationChecker) (Kind, parser.Findings) {
	data, findings := Read(file)
	if findings.Len() > 0 {
		return "", findings
	}
	kind, findings := KindOf(file, data)
	if findings.Len() > 0 {
		return kind, findings
	}
	switch kind {
	case KindRouter:
		_, findings = decode(file, data, DefaultRouter(), kind, checkRouter)
	case KindPlatform:
		_, findings = decode(file, data, DefaultPlatform(), kind, checkPlatform)
	case KindWorker:
		_, findings = decode(file, data, DefaultWorker(), kind, checkWorker)
	case KindService:
		_, findings = decode(file, data, DefaultService(), kind, checkService)
	case KindConfiguration:
		findings = check(file, data)
	}
	return kind, findings
}

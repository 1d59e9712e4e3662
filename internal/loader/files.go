package loader

import "lentilwood.example/lentilwood/internal/parser"

// CheckFile checks one settings file. Of a file of the kind "load" it checks
// only that; its package is the generator.
func CheckFile(file string) (Kind, parser.Findings) {
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
		_, findings = DecodeConfiguration(file, data)
	}
	return kind, findings
}

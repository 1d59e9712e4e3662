// Package loader reads the settings files of every process and checks them as
// a whole. The field "kind" tells what a file is for.
//
// A setting that is not written takes the value of the Default function of its
// kind.
//
// # Usage
//
//	settings, findings := loader.LoadRouter("router.jsonc")
//	if err := findings.Err(); err != nil { ... }
package loader

import (
	"os"

	"lentilwood.example/lentilwood/internal/parser"
)

// MaxFileBytes is the size that a settings file may have.
const MaxFileBytes = 64 << 20

// Kind tells what a file is for.
type Kind string

// The kinds of files.
const (
	KindRouter        Kind = "router"
	KindPlatform      Kind = "platform"
	KindWorker        Kind = "worker"
	KindService       Kind = "service"
	KindConfiguration Kind = "configuration"
	KindLoad          Kind = "load"
)

// Values returns every kind.
func (Kind) Values() []string {
	return []string{
		string(KindRouter), string(KindPlatform), string(KindWorker),
		string(KindService), string(KindConfiguration), string(KindLoad),
	}
}

// LoadRouter reads and checks the settings of a router.
func LoadRouter(file string) (Router, parser.Findings) {
	return load(file, DefaultRouter(), KindRouter, checkRouter)
}

// LoadPlatform reads and checks the settings of the platform's stand-in.
func LoadPlatform(file string) (Platform, parser.Findings) {
	return load(file, DefaultPlatform(), KindPlatform, checkPlatform)
}

// LoadWorker reads and checks the settings of a model engine's stand-in.
func LoadWorker(file string) (Worker, parser.Findings) {
	return load(file, DefaultWorker(), KindWorker, checkWorker)
}

// LoadService reads and checks the settings of a plain service's stand-in.
func LoadService(file string) (Service, parser.Findings) {
	return load(file, DefaultService(), KindService, checkService)
}

// KindOf returns the kind that the content of a file states.
func KindOf(file string, data []byte) (Kind, parser.Findings) {
	head := struct {
		Kind Kind `json:"kind"`
	}{}
	findings := parser.DecodeInto(file, data, &head)
	known := findings.Only("kind")
	if known.Len() == 0 && head.Kind == "" {
		known.Add("kind", "is missing", allowedKinds())
	}
	return head.Kind, known
}

// Read returns the content of a file. A file that cannot be read, or that is
// larger than MaxFileBytes, is a finding.
func Read(file string) ([]byte, parser.Findings) {
	info, err := os.Stat(file)
	if err == nil && info.Size() > MaxFileBytes {
		return nil, parser.FileFinding(file, "is too large", "a file of at most 64 MiB")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, parser.FileFinding(file, "cannot be read: "+err.Error(), "a file that this user may read")
	}
	return data, parser.Findings{}
}

type checker struct {
	*parser.Findings
}

func load[T any](file string, settings T, want Kind, check func(checker, *T)) (T, parser.Findings) {
	data, findings := Read(file)
	if findings.Len() > 0 {
		return settings, findings
	}
	return decode(file, data, settings, want, check)
}

func decode[T any](file string, data []byte, settings T, want Kind, check func(checker, *T)) (T, parser.Findings) {
	got, findings := KindOf(file, data)
	if findings.Len() > 0 {
		return settings, findings
	}
	if got != want {
		findings.Add("kind", "is "+string(got), string(want)+" in a file for this command")
		return settings, findings
	}
	findings = parser.DecodeInto(file, data, &settings)
	check(checker{&findings}, &settings)
	return settings, findings
}

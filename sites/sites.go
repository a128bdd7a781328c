// Package sites embeds the declarations (workloads, presets and teams) of both
// customers' sites.
//
// # Usage
//
//	dir, err := fs.Sub(sites.Files, "vanroosbroeck")
//	set, err := declaration.ReadDir(dir)
package sites

import "embed"

// Files contains one directory of YAML declarations per site.
//
//go:embed vanroosbroeck abayskyclaim
var Files embed.FS

package cli

// The drivers that the command ships with register themselves.
import (
	_ "github.com/gooseberryroad/gooseberryroad/modules/engine/completions"
	_ "github.com/gooseberryroad/gooseberryroad/modules/store/consulkv"
	_ "github.com/gooseberryroad/gooseberryroad/modules/vmlist/httpsd"
)

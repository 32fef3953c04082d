package cli

// These imports register the drivers that the command ships with.
import (
	_ "github.com/gooseberryroad/gooseberryroad/modules/engine/completions"
	_ "github.com/gooseberryroad/gooseberryroad/modules/store/consulkv"
	_ "github.com/gooseberryroad/gooseberryroad/modules/vmlist/httpsd"
)

package memory_test

import (
	"testing"
	"time"

	"github.com/wigeonlock/wigeonlock/store"
	"github.com/wigeonlock/wigeonlock/store/memory"
	"github.com/wigeonlock/wigeonlock/store/suite"
)

func TestStore(t *testing.T) {
	suite.Run(t, func(*testing.T) store.Store { return memory.New(time.Now) })
}

package jsonarray

import (
	"testing"

	"parsleyramp/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 3000) }

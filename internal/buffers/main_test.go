package buffers

import (
	"testing"

	"parsleyramp/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 300) }

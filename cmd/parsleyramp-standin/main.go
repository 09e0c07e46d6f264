// Command parsleyramp-standin imitates one outside system: a model engine, a
// plain service, the weight store or the live list. It serves the demo, tests
// and measurements only.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/platform"
	"parsleyramp/internal/program"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/transport"
)

const stopTimeout = 30 * time.Second

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "parsleyramp-standin: %v\n", err)
		os.Exit(program.ExitFailed)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("parsleyramp-standin", flag.ContinueOnError)
	kind := flags.String("kind", "", "engine, service, store or livelist")
	address := flags.String("address", "", "ip:port to listen on")
	id := flags.String("id", "", "id of the engine or service")
	memoryMB := flags.Uint64("memory-mb", 24000, "memory of the engine in MiB")
	slots := flags.Int("slots", 8, "requests that the engine batches at once")
	token := flags.Duration("token", 5*time.Millisecond, "time between two tokens")
	prefill := flags.Duration("prefill", 100*time.Microsecond, "time for one prompt token")
	cache := flags.Int("cache", 4096, "prefix cache in tokens")
	fencing := flags.Bool("fencing", false, "refuse orders with an older fencing number")
	load := flags.Duration("load", 200*time.Millisecond, "time of one model load at full speed")
	adapterLoad := flags.Duration("adapter-load", 5*time.Millisecond, "time of one adapter load")
	lag := flags.Duration("lag", 500*time.Millisecond, "lag of load reports and of the live list")
	store := flags.String("store", "", "ip:port of the weight store")
	rate := flags.Float64("rate", 3, "model loads that the store starts in a second")
	fullSpeed := flags.Int("full-speed", 3, "model loads that the store serves at full speed at once")
	adapters := flags.Int("adapters", 24, "adapter loads at full speed at once")
	vms := flags.String("vms", "", "file with the live list as JSON")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	var handler http.Handler
	switch *kind {
	case "engine":
		handler = standin.NewEngine(standin.EngineConfig{
			ID: *id, MemoryBytes: *memoryMB << 20, Slots: *slots, Accelerators: 2, TokenInterval: *token, PrefillPerToken: *prefill,
			CacheTokens: *cache, ChecksFencing: *fencing, LoadTime: *load / 10, AdapterLoadTime: *adapterLoad, ReportLag: *lag, Store: *store,
		})
	case "service":
		handler = standin.NewService(*id)
	case "store":
		handler = standin.NewStore(standin.StoreConfig{LoadsPerSecond: *rate, FullSpeed: *fullSpeed, LoadTime: *load, AdapterLoads: *adapters, AdapterLoadTime: *adapterLoad})
	case "livelist":
		list, err := readVMs(*vms)
		if err != nil {
			return err
		}
		handler = standin.NewLiveList(list, *lag)
	default:
		return fail.New(fail.BadSettings, "-kind must be engine, service, store or livelist")
	}
	return serve(*address, handler)
}

func readVMs(path string) ([]platform.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, "read -vms")
	}
	var vms []platform.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, path)
	}
	return vms, nil
}

func serve(address string, h http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	l, err := transport.Listen(address)
	if err != nil {
		return err
	}
	s := transport.Serve(l, h)
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return s.Shutdown(stop)
}

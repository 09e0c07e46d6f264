// Command parsleyramp-standin imitates one kind of external system: model engines, a
// plain service, the weight store or the live list. It is used only in the demo,
// tests and measurements.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/livelist"
	"parsleyramp/internal/program"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/telemetry"
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
	address := flags.String("address", "", "ip:port to listen on; one for each engine, separated by commas")
	id := flags.String("id", "", "id of the engine or service; one for each address, separated by commas")
	memoryMB := flags.Uint64("memory-mb", 24000, "memory of the engine in MiB")
	slots := flags.Int("slots", 8, "concurrent requests that the engine batches")
	token := flags.Duration("token", 5*time.Millisecond, "time between two tokens")
	prefill := flags.Duration("prefill", 100*time.Microsecond, "prefill time of one prompt token")
	cache := flags.Int("cache", 4096, "size of the prefix cache in tokens")
	fencing := flags.Bool("fencing", false, "reject orders with an older fencing token")
	fencingIDs := flags.String("fencing-ids", "", "ids of the engines that reject orders with an older fencing token, if not all do; separated by commas")
	load := flags.Duration("load", 200*time.Millisecond, "time of one model load at full speed")
	adapterLoad := flags.Duration("adapter-load", 5*time.Millisecond, "time of one adapter load")
	lag := flags.Duration("lag", 500*time.Millisecond, "lag of load reports, cache events and the live list")
	store := flags.String("store", "", "ip:port of the weight store")
	rate := flags.Float64("rate", 3, "model loads that the store starts per second")
	fullSpeed := flags.Int("full-speed", 3, "concurrent model loads that the store serves at full speed")
	adapters := flags.Int("adapters", 24, "concurrent adapter loads that the store serves at full speed")
	runs := flags.String("runs", "", "file that stores a service's count of runs across restarts")
	vms := flags.String("vms", "", "file with the live list as JSON")
	traceFile := flags.String("trace-file", "", "file for the spans of engines and services; empty for none")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	addresses, ids := strings.Split(*address, ","), strings.Split(*id, ",")
	if len(addresses) != len(ids) || (len(ids) > 1 && *kind != "engine") {
		return fail.New(fail.BadSettings, "-address and -id must have the same number of values, and more than one only with -kind engine")
	}
	var handlers []http.Handler
	switch *kind {
	case "engine":
		fencingEngines := strings.Split(*fencingIDs, ",")
		for _, name := range ids {
			handlers = append(handlers, standin.NewEngine(standin.EngineConfig{
				ID: name, MemoryBytes: *memoryMB << 20, Slots: *slots, Accelerators: 2, TokenInterval: *token, PrefillPerToken: *prefill,
				CacheTokens: *cache, ChecksFencing: *fencing || slices.Contains(fencingEngines, name), LoadTime: *load / 10,
				AdapterLoadTime: *adapterLoad, ReportLag: *lag, Store: *store,
			}))
		}
	case "service":
		service := standin.NewService(*id)
		if *runs != "" {
			if err := service.RecordRuns(*runs); err != nil {
				return err
			}
		}
		handlers = append(handlers, service)
	case "store":
		handlers = append(handlers, standin.NewStore(standin.StoreConfig{LoadsPerSecond: *rate, ModelLoads: *fullSpeed, LoadTime: *load, AdapterLoads: *adapters, AdapterLoadTime: *adapterLoad}))
	case "livelist":
		list, err := readVMs(*vms)
		if err != nil {
			return err
		}
		handlers = append(handlers, standin.NewLiveList(list, *lag))
	default:
		return fail.New(fail.BadSettings, "-kind must be engine, service, store or livelist")
	}
	for i := range handlers {
		handlers[i] = telemetry.Traced("standin", handlers[i])
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	flush, err := telemetry.StartTracing(ctx, telemetry.Settings{TraceFile: *traceFile}, "parsleyramp-standin", *id)
	if err != nil {
		return err
	}
	err = serve(ctx, addresses, handlers)
	return errors.Join(err, flush(context.Background()))
}

func readVMs(path string) ([]livelist.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, "read -vms")
	}
	var vms []livelist.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, path)
	}
	return vms, nil
}

func serve(ctx context.Context, addresses []string, handlers []http.Handler) error {
	var servers []*transport.Server
	for i, a := range addresses {
		l, err := transport.Listen(a)
		if err != nil {
			return err
		}
		servers = append(servers, transport.Serve(l, handlers[i]))
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	for _, s := range servers {
		if err := s.Shutdown(stop); err != nil {
			return err
		}
	}
	return nil
}

package emulator

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// Declaration is the declaration of an emulated service.
func Declaration(service string) declaration.Service {
	s := declaration.Service{Name: service, Slots: Slots(service), MaxConnections: 300}
	switch service {
	case "rounds":
		s.Routes = []declaration.Route{
			lookup("today", "/today", chain.Default, "bookings", "jobs"),
			write("repair", "/repairs", "bookings", "reserve"),
			lookup("selfcheck", "/selfcheck", chain.Sheddable, deepService, "check"),
		}
	case "bookings":
		s.Routes = []declaration.Route{
			lookup("jobs", "/jobs", chain.Default, "photos", "list"),
			write("reserve", "/reserve", deepService, "history"),
		}
	case "photos":
		s.Routes = []declaration.Route{lookup("list", "/list", chain.Default, deepService, "history")}
	default:
		s.MaxConnections = 150
		s.Routes = []declaration.Route{
			lookup("history", "/history", chain.Default, "", ""),
			lookup("check", "/check", chain.Sheddable, "", ""),
		}
	}
	return s
}

const (
	declaredTimeout = 2 * time.Second
	declaredRetries = 2
	declaredMaxBody = 64 << 10
)

func lookup(name, path string, class chain.Class, service, route string) declaration.Route {
	r := declaration.Route{
		Name: name, Method: "GET", Path: path, Class: class, Idempotent: true,
		Timeout: declaredTimeout, Retries: declaredRetries, MaxBody: declaredMaxBody,
	}
	if service != "" {
		r.Calls = []declaration.RouteID{{Service: service, Route: route}}
	}
	return r
}

func write(name, path, service, route string) declaration.Route {
	r := lookup(name, path, chain.Critical, service, route)
	r.Method = "POST"
	r.Idempotent = false
	return r
}

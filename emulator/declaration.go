package emulator

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// Declaration returns the declaration of an emulated service.
func Declaration(service string) declaration.Service {
	s := declaration.Service{Name: service, Slots: Slots(service), MaxConnections: 300}
	switch service {
	case "rounds":
		s.Routes = []declaration.Route{
			lookupRoute("today", "/today", chain.Default, "bookings", "jobs"),
			writeRoute("repair", "/repairs", "bookings", "reserve"),
			lookupRoute("selfcheck", "/selfcheck", chain.Sheddable, deepService, "check"),
		}
	case "bookings":
		s.Routes = []declaration.Route{
			lookupRoute("jobs", "/jobs", chain.Default, "photos", "list"),
			writeRoute("reserve", "/reserve", deepService, "history"),
		}
	case "photos":
		s.Routes = []declaration.Route{lookupRoute("list", "/list", chain.Default, deepService, "history")}
	default:
		s.MaxConnections = 150
		s.Routes = []declaration.Route{
			lookupRoute("history", "/history", chain.Default, "", ""),
			lookupRoute("check", "/check", chain.Sheddable, "", ""),
		}
	}
	return s
}

const (
	declaredTimeout = 2 * time.Second
	declaredRetries = 2
	declaredMaxBody = 64 << 10
)

// lookupRoute returns an idempotent GET route, with a call if service is not empty.
func lookupRoute(name, path string, class chain.Class, service, route string) declaration.Route {
	r := declaration.Route{
		Name: name, Method: "GET", Path: path, Class: class, Idempotent: true,
		Timeout: declaredTimeout, Retries: declaredRetries, MaxBody: declaredMaxBody,
	}
	if service != "" {
		r.Calls = []declaration.RouteID{{Service: service, Route: route}}
	}
	return r
}

// writeRoute returns a critical POST route that is not idempotent.
func writeRoute(name, path, service, route string) declaration.Route {
	r := lookupRoute(name, path, chain.Critical, service, route)
	r.Method = "POST"
	r.Idempotent = false
	return r
}

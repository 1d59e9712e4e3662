package router

import "lentilwood.example/lentilwood/internal/configurer"

// tellPeers passes a message of the configurer to other routers.
func (r *Router) tellPeers(configurer.Action) {}

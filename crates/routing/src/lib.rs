//! Routing decisions of the balancer: connection identifiers, slot tables, relays.

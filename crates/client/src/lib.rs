//! Caller library: streams, reservations and sheets over QUIC.

//! Membership state machines: announcements, gossip, failure detection.

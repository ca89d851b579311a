//! Admission decisions at the agent: slots, queues, at-most-once, retries.

//! Agent process beside each upstream.

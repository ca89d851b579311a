//! Settings files, profiles and services, and how a change of them spreads.

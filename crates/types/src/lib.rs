//! Identifiers, units, result codes and domain types shared by every part.

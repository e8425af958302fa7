//! The evidence as it is exchanged with other entries.

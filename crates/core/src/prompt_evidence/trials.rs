//! Trials of parts on probation.

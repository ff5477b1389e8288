//! Request program of an entry VM.

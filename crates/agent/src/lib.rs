//! Control program of an entry VM.

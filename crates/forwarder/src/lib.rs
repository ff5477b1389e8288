//! Packet program of an entry VM.

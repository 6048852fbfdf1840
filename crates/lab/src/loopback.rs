//! A day over sockets, to come.

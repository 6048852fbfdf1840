//! Locks whose holder may have panicked: the run goes on, and the panic has been printed.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

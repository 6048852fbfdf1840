//! Locking that ignores poisoning: if a thread panics while it holds a lock, the panic message has been printed and the
//! run continues.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

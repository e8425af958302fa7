//! Locking of mutexes.

use std::sync;

/// Locks a mutex; ignores poisoning, because a panic of a holder doesn't leave a partial update.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

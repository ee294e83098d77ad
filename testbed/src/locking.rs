//! Mutex locks that ignore poisoning.

use std::sync;

/// Locks `mutex`, also after a thread has panicked while holding it. The
/// stand-ins leave the guarded data consistent after each step, so a poisoned
/// lock is still usable.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

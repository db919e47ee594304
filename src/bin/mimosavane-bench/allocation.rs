//! A global allocator that counts allocations, for figures that do not depend on
//! the speed of the machine.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

/// The system allocator, with counters of allocations and of live bytes.
#[derive(Debug)]
pub struct CountingAllocator;

static ALLOCATION_COUNT: AtomicUsize = AtomicUsize::new(0);
static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Returns the number of allocations since the program started.
pub fn count() -> usize {
    ALLOCATION_COUNT.load(Relaxed)
}

/// Returns the number of currently allocated bytes.
pub fn live_bytes() -> usize {
    LIVE_BYTES.load(Relaxed)
}

// SAFETY: All calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATION_COUNT.fetch_add(1, Relaxed);
        LIVE_BYTES.fetch_add(layout.size(), Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

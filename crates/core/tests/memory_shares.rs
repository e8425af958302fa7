//! Tests of the shares of a VM's memory and descriptors.

use pimentohook_core::memory_shares::{EntryShares, VmLimits};

/// Smaller VMs than any get the least that serves one request of the maximum size.
#[test]
fn shares_follow_the_limits_of_the_vm() {
    let shares = [(0, 0), (48, 1_200), (160, 4_100), (260, 4_200), (512, 10_933)].map(
        |(memory_mb, descriptors_max)| {
            let limits = VmLimits {
                memory_bytes: memory_mb * 1_000_000,
                descriptors_max,
            };
            let shares = EntryShares::of(&limits);
            format!(
                "{memory_mb} MB, {descriptors_max} descriptors: requests {}, responses {}, \
                 callers {}, each internal port {}",
                shares.requests_bytes,
                shares.responses_bytes,
                shares.callers_max,
                shares.internal_max
            )
        },
    );
    insta::assert_snapshot!(shares.join("\n"), @r"
    0 MB, 0 descriptors: requests 8388608, responses 8388608, callers 64, each internal port 64
    48 MB, 1200 descriptors: requests 10666666, responses 10666666, callers 434, each internal port 125
    160 MB, 4100 descriptors: requests 48000000, responses 48000000, callers 1953, each internal port 487
    260 MB, 4200 descriptors: requests 81333333, responses 81333333, callers 2500, each internal port 500
    512 MB, 10933 descriptors: requests 165333333, responses 165333333, callers 6708, each internal port 1341
    ");
}

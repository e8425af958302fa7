//! Tests of the shares of a VM's memory and descriptors.

use pimentohook_core::memory_shares::{AgentShares, EntryShares, VmLimits};

/// Smaller VMs than any get the least that serves one request of the maximum size.
#[test]
fn shares_follow_the_limits_of_the_vm() {
    let shares = [
        (0, 0),
        (48, 1_200),
        (160, 4_100),
        (260, 4_200),
        (512, 10_933),
    ]
    .map(|(memory_mb, descriptors_max)| {
        let limits = VmLimits {
            memory_bytes: memory_mb * 1_000_000,
            descriptors_max,
        };
        let shares = EntryShares::of(&limits);
        format!(
            "{memory_mb} MB, {descriptors_max} descriptors: requests {}, responses {}, \
                 callers {}, each internal port {}",
            shares.requests_bytes, shares.responses_bytes, shares.callers_max, shares.internal_max
        )
    });
    insta::assert_snapshot!(shares.join("\n"), @r"
    0 MB, 0 descriptors: requests 6291456, responses 6291456, callers 64, each internal port 64
    48 MB, 1200 descriptors: requests 6291456, responses 6291456, callers 234, each internal port 125
    160 MB, 4100 descriptors: requests 27200000, responses 27200000, callers 1328, each internal port 487
    260 MB, 4200 descriptors: requests 47200000, responses 47200000, callers 2304, each internal port 500
    512 MB, 10933 descriptors: requests 97600000, responses 97600000, callers 4765, each internal port 1341
    ");
}

#[test]
fn an_agent_keeps_descriptors_for_its_own_connections() {
    let limits = VmLimits {
        memory_bytes: 128_000_000,
        descriptors_max: 2_048,
    };
    let expected = AgentShares {
        peers_max: 924,
        metrics_max: 231,
    };
    assert_eq!(AgentShares::of(&limits), expected);
}

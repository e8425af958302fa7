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
                 messages {}, callers {}, peers {}, directory {}, each check {}",
            shares.requests_bytes,
            shares.responses_bytes,
            shares.messages_bytes,
            shares.callers_max,
            shares.peers_max,
            shares.directory_max,
            shares.checks_max
        )
    });
    insta::assert_snapshot!(shares.join("\n"), @r"
    0 MB, 0 descriptors: requests 6291456, responses 6291456, messages 2097152, callers 32, peers 32, directory 32, each check 32
    48 MB, 1200 descriptors: requests 6291456, responses 6291456, messages 2400000, callers 234, peers 125, directory 125, each check 32
    160 MB, 4100 descriptors: requests 27200000, responses 27200000, messages 8388608, callers 1328, peers 487, directory 487, each check 121
    260 MB, 4200 descriptors: requests 47200000, responses 47200000, messages 8388608, callers 2250, peers 500, directory 500, each check 125
    512 MB, 10933 descriptors: requests 97600000, responses 97600000, messages 8388608, callers 4765, peers 1341, directory 1341, each check 335
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
        messages_bytes: 8 << 20,
    };
    assert_eq!(AgentShares::of(&limits), expected);
}

/// Crowds at all ports at once once took all descriptors, and upstreams could not be reached.
#[test]
fn crowds_at_all_ports_leave_descriptors_for_upstreams() {
    for (memory_mb, descriptors_max) in [(160, 4_100), (260, 4_200), (512, 10_933), (9_000, 4_100)]
    {
        let limits = VmLimits {
            memory_bytes: memory_mb * 1_000_000,
            descriptors_max,
        };
        let shares = EntryShares::of(&limits);
        let taken =
            shares.callers_max + shares.peers_max + shares.directory_max + 2 * shares.checks_max;
        let sockets = descriptors_max - 200;
        assert!(taken <= sockets * 7 / 8, "{taken} of {sockets}: {limits:?}");
    }
}

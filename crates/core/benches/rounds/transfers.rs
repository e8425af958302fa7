//! The transfers of a round: which start, over which links, and how they end.

use pimentohook_core::burst::downloader;
use rand::{RngExt as _, seq::SliceRandom as _};

use super::{ATTEMPTS_PER_ROUND, Fault, Run, STALL_ROUNDS, Transfer};

impl Run {
    /// Sends a fixed number of chunks per round from the origin; returns the indices of the VMs
    /// that download one.
    pub(super) fn start_origin_downloads(&mut self) -> Vec<usize> {
        let mut origin_downloaders = Vec::new();
        for _ in 0..self.policy.grants_per_chunk() {
            let Some((index, fetch)) = self.origin_queue.pop_front() else {
                break;
            };
            self.origin_sent += 1;
            origin_downloaders.push(index);
            let failure = self.random_corruption();
            self.transfers.push(Transfer {
                downloader: index,
                uploader: None,
                fetch,
                ends_at: self.round + 1,
                failure,
            });
        }
        origin_downloaders
    }

    /// Starts downloads from peers. A VM that downloads a chunk from the origin downloads none from
    /// a peer in the same round.
    pub(super) fn start_downloads(&mut self, origin_downloaders: &[usize]) {
        let mut order: Vec<usize> = self.alive().collect();
        order.shuffle(&mut self.rng);
        for index in order
            .into_iter()
            .filter(|index| !origin_downloaders.contains(index))
        {
            for _ in 0..ATTEMPTS_PER_ROUND {
                let now = self.now();
                let downloader = &mut self.replicas[index].downloader;
                let Some(fetch) = downloader.start_next(now, &mut self.rng) else {
                    break;
                };
                if self.start_transfer(index, fetch) {
                    break;
                }
            }
        }
    }

    /// Starts a transfer; returns false if the source denied it and another may be tried.
    fn start_transfer(&mut self, index: usize, fetch: downloader::Fetch) -> bool {
        let downloader::Source::Peer(vm) = &fetch.source else {
            self.origin_queue.push_back((index, fetch));
            return false;
        };
        let peer = self.index_of[vm];
        let now = self.now();
        let source = &mut self.replicas[peer];
        let held = source.downloader.held().clone();
        let started = if source.dead {
            None
        } else {
            Some(
                source
                    .uploader
                    .try_start(now, &held, fetch.chunk, fetch.overdraft),
            )
        };
        let (uploaded_count, stalls) = (
            source.uploader.uploaded_count(),
            source.stalls || source.dead,
        );
        if let Some(result) = started {
            let downloader = &mut self.replicas[index].downloader;
            downloader.record_progress(vm, &held, uploaded_count);
            if let Err(denial) = result {
                let failure = downloader::FetchFailure::Denied(denial);
                downloader.record_failure(now, &fetch, failure);
                return false;
            }
        }
        let is_cross_domain = self.replicas[peer].domain != self.replicas[index].domain;
        self.cross_domain_count += u32::from(is_cross_domain);
        let (rounds, failure) = if stalls {
            (STALL_ROUNDS, Some(downloader::FetchFailure::Stalled))
        } else {
            (1, self.random_corruption())
        };
        self.transfers.push(Transfer {
            downloader: index,
            uploader: started.map(|_| peer),
            fetch,
            ends_at: self.round + rounds,
            failure,
        });
        true
    }

    fn random_corruption(&mut self) -> Option<downloader::FetchFailure> {
        let corrupt = self.fault == Fault::Corrupt && self.rng.random_ratio(1, 100);
        corrupt.then_some(downloader::FetchFailure::Corrupt)
    }

    pub(super) fn end_round(&mut self) {
        let now = self.now();
        let round = self.round;
        let (ended, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.transfers)
            .into_iter()
            .partition(|transfer| transfer.ends_at <= round);
        self.transfers = open;
        for transfer in ended {
            if let Some(uploader) = transfer.uploader {
                self.replicas[uploader].uploader.release_slot();
            }
            let replica = &mut self.replicas[transfer.downloader];
            match transfer.failure {
                None => {
                    if transfer.fetch.source == downloader::Source::Origin {
                        replica.uploader.record_introduced(transfer.fetch.chunk);
                    }
                    replica.downloader.record_verified(&transfer.fetch);
                }
                Some(failure) => replica
                    .downloader
                    .record_failure(now, &transfer.fetch, failure),
            }
            if transfer.failure != Some(downloader::FetchFailure::Stalled) {
                replica.uploader.record_downloaded();
            }
        }
    }
}

//! Rendezvous hashing: ranks the members of a changing set for a key.

use bambooseam_types::Weight;

use crate::FlowKey;

/// A member of a ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Position in the list that the ranking was created from.
    pub index: usize,
    /// Hash of the member's name.
    pub hash: u64,
}

/// Set of members that can be ranked for any key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranking {
    members: Vec<Member>,
}

impl Ranking {
    /// Creates a ranking from positions and names.
    pub fn new<'a>(members: impl IntoIterator<Item = (usize, &'a str)>) -> Self {
        let members = members
            .into_iter()
            .map(|(index, name)| Member {
                index,
                hash: FlowKey::from_name(name).get(),
            })
            .collect();
        Self { members }
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Position of the member that ranks first; `None` if there are no members.
    pub fn first(&self, key: FlowKey) -> Option<usize> {
        self.top::<1>(key)[0]
    }

    /// Positions of the first `N` members in rank order; `None` beyond the last member.
    pub fn top<const N: usize>(&self, key: FlowKey) -> [Option<usize>; N] {
        let mut best: [(u64, Option<usize>); N] = [(0, None); N];
        for member in &self.members {
            let score = mix(key.get(), member.hash);
            let Some(last) = best.last() else { break };
            if last.1.is_some() && score <= last.0 {
                continue;
            }
            let at = best
                .iter()
                .position(|ranked| ranked.1.is_none() || score > ranked.0)
                .unwrap_or(N - 1);
            best[at..].rotate_right(1);
            best[at] = (score, Some(member.index));
        }
        best.map(|ranked| ranked.1)
    }

    /// Positions of all members in rank order.
    pub fn rank_all(&self, key: FlowKey) -> Vec<usize> {
        let mut scored: Vec<(u64, usize)> = self
            .members
            .iter()
            .map(|m| (mix(key.get(), m.hash), m.index))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.into_iter().map(|(_, index)| index).collect()
    }
}

/// Selects a member by weighted rendezvous hashing from `(position, hash of the name, weight)`.
///
/// Each member is selected for a share of the keys that is proportional to its weight; a member
/// with weight 0 is never selected.
pub fn pick_weighted(
    key: FlowKey,
    members: impl IntoIterator<Item = (usize, u64, Weight)>,
) -> Option<usize> {
    let mut best = None;
    let mut least = f64::INFINITY;
    for (index, hash, weight) in members {
        if weight.get() == 0 {
            continue;
        }
        let score = -unit_interval(mix(key.get(), hash)).ln() / f64::from(weight.get());
        if score >= least {
            continue;
        }
        least = score;
        best = Some(index);
    }
    best
}

/// Mixes two hashes into one with the finalizer of SplitMix64.
fn mix(key: u64, hash: u64) -> u64 {
    let mut z = key ^ hash.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Maps a hash to a number greater than 0 and at most 1.
fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64
}

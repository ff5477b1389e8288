//! Lookup tables derived from a view: ranks of the forwarders and candidates of each service.
//!
//! Rendezvous ranks are computed once for each bucket of flow keys, on first use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bambooseam_types::{ServiceId, VmId, Weight};
use bambooseam_view::{
    FlowKey, Frontend, FrontendKind, Ranking, ServiceIndex, View, Vm, VmHealth, pick_weighted,
};

use crate::Moment;
use crate::table::Tick;
use crate::target::{Identity, TargetNumber, TargetRegistry, TargetStatus};

/// Leading bits of a flow key that select its bucket.
const BUCKET_BITS: u32 = 16;
/// Forwarders in rank order that are kept for each bucket.
const RANK_LIMIT: usize = 6;
/// Marks the absence of a member.
const NO_MEMBER: u16 = u16::MAX;
/// Marks ranks that have not been computed yet.
const NOT_RANKED: u16 = u16::MAX - 1;
/// Most proxies over which the connections of one service are spread.
const PROXY_LIMIT: usize = 32;
/// Port on which the kernel of a VM receives packets for the VM's proxy.
const GENEVE_PORT: u16 = 6081;

/// Lookup tables derived from one view.
#[derive(Debug)]
pub struct Topology {
    view: Arc<View>,
    members: Vec<Member>,
    local: Option<u16>,
    all: Ranking,
    live: Ranking,
    buckets: Vec<Ranks>,
    groups: Vec<Group>,
    /// Most recent result of [`Self::find_group`].
    last_lookup: Option<(SocketAddr, GroupIndex)>,
}

/// A forwarder that may own flows or know of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifier of the VM.
    pub id: VmId,
    /// Address at which the forwarder receives packets.
    pub address: SocketAddr,
    /// Health in the view, except that a forwarder never suspects itself.
    pub health: VmHealth,
    /// When the member entered its current health state.
    pub since: Moment,
    /// Whether all VMs of the member's zone are suspected.
    pub is_zone_suspected: bool,
}

/// Forwarders in rank order for one bucket of keys, as positions in the list of members.
#[derive(Debug, Clone, Copy)]
pub struct Ranks {
    live: [u16; 2],
    all: [u16; RANK_LIMIT],
}

/// Role of this forwarder for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// First live forwarder in rank; picks the target.
    Owner,
    /// Second live forwarder in rank; records what the owner picked.
    Shadow,
    /// Any other forwarder; relays packets to the owner.
    Relay,
}

/// Targets over which the flows of a frontend are spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Service identifier on the wire.
    pub vni: ServiceId,
    /// Whether the candidates are targets of the service or proxies.
    pub kind: FrontendKind,
    /// Time over which a target that joined reaches its full share of flows.
    pub ramp: Duration,
    /// Idle time after which flows may expire.
    pub idle: Duration,
    /// Candidates, including leaving ones.
    pub candidates: Vec<Candidate>,
}

/// One target of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the target in the registry.
    pub number: TargetNumber,
    /// Hash of the target's name.
    pub hash: u64,
    /// Relative share of new flows.
    pub weight: Weight,
    /// Whether the target accepts new flows.
    pub is_open: bool,
}

/// Index of a group in [`Topology::groups`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupIndex(usize);

impl Topology {
    /// Builds the tables of a view for the forwarder of `vm`, and registers the view's targets.
    pub fn new(
        view: Arc<View>,
        vm: &VmId,
        earlier: Option<&Self>,
        targets: &mut TargetRegistry,
        now: Moment,
    ) -> Self {
        let members = build_members(&view, vm, earlier, now);
        let is_local = |member: &Member| member.id == *vm;
        let local = members.iter().position(is_local).map(|at| at as u16);
        let all = rank(&members, |_| true);
        let live = rank(&members, |member| member.health == VmHealth::Live);
        let mut groups = Vec::new();
        for index in 0..view.preset.services.len() {
            for kind in [FrontendKind::Flows, FrontendKind::Requests] {
                groups.push(build_group(&view, ServiceIndex(index), kind, targets));
            }
        }
        Self {
            view,
            members,
            local,
            all,
            live,
            buckets: vec![Ranks::EMPTY; 1 << BUCKET_BITS],
            groups,
            last_lookup: None,
        }
    }

    /// Returns the view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the forwarders that may own flows or know of them.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member that is this forwarder.
    pub fn local(&self) -> Option<&Member> {
        self.local.map(|local| &self.members[usize::from(local)])
    }

    /// Returns all groups.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns the group at an index.
    #[inline]
    pub fn group(&self, index: GroupIndex) -> &Group {
        &self.groups[index.0]
    }

    /// Returns the group that receives a caller's packet to `address`.
    #[inline]
    pub fn find_group(&mut self, address: SocketAddr) -> Option<GroupIndex> {
        if let Some((latest, group)) = self.last_lookup
            && latest == address
        {
            return Some(group);
        }
        let Frontend { service, kind, .. } = self.view.frontend(address)?;
        let group = group_index(service, kind);
        self.last_lookup = Some((address, group));
        Some(group)
    }

    /// Returns the group of service `vni` that has the target as a candidate.
    pub fn group_of(&self, vni: ServiceId, number: TargetNumber) -> Option<&Group> {
        let service_groups = self.groups.iter().filter(|group| group.vni == vni);
        let mut matching = service_groups.filter(|group| group.has(number));
        matching.next()
    }

    /// Returns the ranks of a key.
    #[inline]
    pub fn ranks(&mut self, key: FlowKey) -> Ranks {
        let bucket = key.get() >> (u64::BITS - BUCKET_BITS);
        let cached = self.buckets[bucket as usize];
        if cached.live[0] != NOT_RANKED {
            return cached;
        }
        let key = FlowKey::from(bucket);
        let ranks = Ranks {
            live: self.live.top::<2>(key).map(to_rank),
            all: self.all.top::<RANK_LIMIT>(key).map(to_rank),
        };
        self.buckets[bucket as usize] = ranks;
        ranks
    }

    /// Returns the role of this forwarder for a flow with these ranks.
    #[inline]
    pub fn role(&self, ranks: &Ranks) -> Role {
        let local = self.local.unwrap_or(NO_MEMBER);
        if ranks.live[0] == NO_MEMBER || ranks.live[0] == local {
            return Role::Owner;
        }
        if ranks.live[1] == local {
            return Role::Shadow;
        }
        Role::Relay
    }

    /// Returns the first live forwarder in rank that is not this one.
    pub fn first_peer(&self, ranks: &Ranks) -> Option<&Member> {
        let peer = ranks.live.iter().find(|rank| Some(**rank) != self.local)?;
        self.members.get(usize::from(*peer))
    }

    /// Returns the owner, unless this forwarder is the owner.
    pub fn owner(&self, ranks: &Ranks) -> Option<&Member> {
        if Some(ranks.live[0]) == self.local {
            return None;
        }
        self.members.get(usize::from(ranks.live[0]))
    }

    /// Returns the next member to query at position `from` of the query order or later, with its
    /// position.
    ///
    /// Joining members come last: other forwarders may have received their change to live before
    /// this one did.
    pub fn next_queried(&self, ranks: &Ranks, from: usize) -> Option<(usize, &Member)> {
        for position in from..2 * RANK_LIMIT {
            let rank = ranks.all[position % RANK_LIMIT];
            if Some(rank) == self.local {
                continue;
            }
            let Some(member) = self.members.get(usize::from(rank)) else {
                continue;
            };
            let may_query = match member.health {
                VmHealth::Live | VmHealth::Leaving => position < RANK_LIMIT,
                VmHealth::Joining => position >= RANK_LIMIT,
                VmHealth::Suspected => false,
            };
            if may_query {
                return Some((position, member));
            }
        }
        None
    }

    /// Whether a suspected member for which `is_recent` holds ranks above the second live member.
    /// Such a member may know the flow.
    pub fn has_suspected_rank(&self, ranks: &Ranks, is_recent: impl Fn(&Member) -> bool) -> bool {
        let mut live = 0;
        for rank in ranks.all {
            let Some(member) = self.members.get(usize::from(rank)) else {
                return false;
            };
            match member.health {
                VmHealth::Suspected if is_recent(member) => return true,
                VmHealth::Live => live += 1,
                _ => {}
            }
            if live == 2 {
                return false;
            }
        }
        false
    }

    /// Whether a whole zone is suspected in which `is_recent` holds for a member. Such a zone may
    /// keep running during a partition and place any flow, whatever the flow's ranks.
    pub fn has_suspected_zone(&self, is_recent: impl Fn(&Member) -> bool) -> bool {
        let is_partitioned = |member: &Member| {
            member.health == VmHealth::Suspected && member.is_zone_suspected && is_recent(member)
        };
        self.members.iter().any(is_partitioned)
    }

    /// Whether an address belongs to a member's forwarder.
    pub fn is_member(&self, address: SocketAddr) -> bool {
        self.members.iter().any(|member| member.address == address)
    }

    /// Whether both topologies have the same members, addresses and health; joining members don't
    /// count.
    pub fn is_same_membership(&self, other: &Self) -> bool {
        let is_included = |member: &&Member| member.health != VmHealth::Joining;
        let key = |member: &Member| (member.id.clone(), member.health, member.address);
        let included = self.members.iter().filter(is_included).map(key);
        included.eq(other.members.iter().filter(is_included).map(key))
    }

    /// Returns the groups, for the history of views.
    pub fn into_groups(self) -> Vec<Group> {
        self.groups
    }
}

impl Ranks {
    const EMPTY: Self = Self {
        live: [NOT_RANKED; 2],
        all: [NO_MEMBER; RANK_LIMIT],
    };
}

impl Group {
    /// Returns the weighted rendezvous pick among all candidates, leaving ones included.
    pub fn default_pick(&self, key: FlowKey) -> Option<TargetNumber> {
        let members = self
            .candidates
            .iter()
            .enumerate()
            .map(|(at, candidate)| (at, candidate.hash, candidate.weight));
        pick_weighted(key, members).map(|at| self.candidates[at].number)
    }

    /// Returns the group without one candidate.
    pub fn without(&self, number: TargetNumber) -> Self {
        let mut group = self.clone();
        group
            .candidates
            .retain(|candidate| candidate.number != number);
        group
    }

    /// Whether a target is among the candidates.
    pub fn has(&self, number: TargetNumber) -> bool {
        let is_target = |candidate: &Candidate| candidate.number == number;
        self.candidates.iter().any(is_target)
    }

    /// Idle time in ticks after which flows may expire.
    pub fn idle_ticks(&self) -> u32 {
        Tick::count(self.idle)
    }
}

/// Returns the index of a service's group.
fn group_index(service: ServiceIndex, kind: FrontendKind) -> GroupIndex {
    GroupIndex(2 * service.0 + usize::from(kind == FrontendKind::Requests))
}

/// Builds the members in the order of the view.
fn build_members(view: &View, vm: &VmId, earlier: Option<&Topology>, now: Moment) -> Vec<Member> {
    let mut members = Vec::new();
    for entry in &view.vms {
        let previous = earlier.and_then(|earlier| {
            let is_same = |member: &&Member| member.id == entry.entry.id;
            earlier.members.iter().find(is_same)
        });
        let health = effective_health(entry, vm);
        let since = match previous {
            Some(previous) if previous.health == health => previous.since,
            _ => now,
        };
        members.push(Member {
            id: entry.entry.id.clone(),
            address: entry.entry.forwarder,
            health,
            since,
            is_zone_suspected: is_zone_suspected(view, entry),
        });
    }
    members
}

/// Whether all VMs in the zone of `vm` are suspected, as in a partition.
fn is_zone_suspected(view: &View, vm: &Vm) -> bool {
    let zone_vms = view
        .vms
        .iter()
        .filter(|other| other.entry.zone == vm.entry.zone);
    let mut suspected = zone_vms.map(|other| other.health == VmHealth::Suspected);
    suspected.all(|is_suspected| is_suspected)
}

/// Returns the health of a member; a forwarder does not suspect itself.
fn effective_health(entry: &Vm, vm: &VmId) -> VmHealth {
    match entry.health {
        VmHealth::Suspected if entry.entry.id == *vm => VmHealth::Live,
        health => health,
    }
}

/// Ranks the members for which `is_included` holds.
fn rank(members: &[Member], is_included: impl Fn(&Member) -> bool) -> Ranking {
    let included = members
        .iter()
        .enumerate()
        .filter(|(_, member)| is_included(member));
    Ranking::new(included.map(|(at, member)| (at, member.id.as_str())))
}

/// Returns the compact form of a member's position.
fn to_rank(position: Option<usize>) -> u16 {
    position.map_or(NO_MEMBER, |at| at as u16)
}

/// Builds the candidates of a frontend and sets the status of each in the registry.
fn build_group(
    view: &View,
    index: ServiceIndex,
    kind: FrontendKind,
    targets: &mut TargetRegistry,
) -> Group {
    let service = view.service(index);
    let mut group = Group {
        vni: service.vni,
        kind,
        ramp: service.ramp_time,
        idle: service.flow_idle,
        candidates: Vec::new(),
    };
    match kind {
        FrontendKind::Flows => {
            for target in view.targets_of(index) {
                let listed = ViewTarget {
                    address: target.entry.flows,
                    hash: target.hash,
                    weight: target.entry.weight,
                    is_open: target.is_open(),
                };
                group.add(listed, targets);
            }
        }
        FrontendKind::Requests if service.request_port.is_none() => {}
        FrontendKind::Requests => add_proxies(view, &mut group, targets),
    }
    group
}

/// Adds the proxies of a service: the first live proxies in a ranking by the service.
///
/// The other proxies keep the connections that they have.
fn add_proxies(view: &View, group: &mut Group, targets: &mut TargetRegistry) {
    let key = FlowKey::from(u64::from(group.vni.get()));
    let mut preferred = view.proxies().rank_all(key);
    preferred.truncate(PROXY_LIMIT);
    preferred.sort_unstable();
    for (index, vm) in view.vms.iter().enumerate() {
        let address = SocketAddr::new(vm.entry.forwarder.ip(), GENEVE_PORT);
        if vm.health == VmHealth::Joining {
            continue;
        }
        if preferred.binary_search(&index).is_err() {
            group.keep_known(address, targets);
            continue;
        }
        let listed = ViewTarget {
            address,
            hash: FlowKey::from_name(vm.entry.id.as_str()).get(),
            weight: Weight::DEFAULT,
            is_open: true,
        };
        group.add(listed, targets);
    }
}

/// A target as listed in the view.
struct ViewTarget {
    address: SocketAddr,
    hash: u64,
    weight: Weight,
    is_open: bool,
}

impl Group {
    /// Lets a target that is already registered keep its flows.
    fn keep_known(&self, address: SocketAddr, targets: &mut TargetRegistry) {
        let identity = Identity {
            vni: self.vni,
            address,
        };
        if let Some(number) = targets.find(identity) {
            targets.set_status(number, TargetStatus::Leaving);
            targets.set_idle_ticks(number, self.idle_ticks());
        }
    }

    /// Adds a candidate and sets its status in the registry.
    fn add(&mut self, listed: ViewTarget, targets: &mut TargetRegistry) {
        let identity = Identity {
            vni: self.vni,
            address: listed.address,
        };
        let status = match listed.is_open {
            true => TargetStatus::Open,
            false => TargetStatus::Leaving,
        };
        let number = targets.intern(identity, status);
        targets.set_status(number, status);
        targets.set_idle_ticks(number, self.idle_ticks());
        self.candidates.push(Candidate {
            number,
            hash: listed.hash,
            weight: listed.weight,
            is_open: listed.is_open,
        });
    }
}

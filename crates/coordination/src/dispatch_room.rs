//! The room that upstreams have for short requests, as [`Dispatcher`] knows it.

use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::load::told::Told;
use crate::local_state::InFlight;
use crate::queue::short::Supply;
use crate::upstream::Fleet;
use crate::upstream::Upstream;
use state::time::Instant;

impl Dispatcher {
    /// Returns whether the upstreams of a service tell their load, so that its short requests wait
    /// at their host while all are full.
    pub fn tells_load(&self, service: &str) -> bool {
        self.telling.contains_key(service)
    }

    /// Returns whether a request waits at its host while all upstreams are full. One that resumes
    /// an answer has no time to wait.
    pub fn has_line(&self, demand: &Demand) -> bool {
        demand.shared_prefix.is_none()
            && demand.exact_weights.is_none()
            && self.tells_load(&demand.service)
    }

    /// Records that the upstream took a request, with the load that it told.
    pub fn record_accepted(&mut self, now: Instant, in_flight: &mut InFlight, told: Option<Told>) {
        in_flight.is_accepted = true;
        if told.is_some_and(|told| told.slots > 0) && !self.tells_load(&in_flight.service) {
            self.telling.insert(in_flight.service.clone(), None);
        }
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            local.room.record_accepted(now, told);
        }
    }

    /// Records that the upstream rejected a request, with the load that it told.
    pub fn record_rejected(&mut self, now: Instant, in_flight: &InFlight, told: Option<Told>) {
        self.record_refusal(now, in_flight);
        if let Some(told) = told.filter(|told| told.is_full()) {
            // Requests that arrive together are told all of them.
            let full = self.telling.entry(in_flight.service.clone()).or_default();
            let count = told.count();
            *full = Some(full.map_or(count, |least| least.min(count)));
        }
        if let Some(local) = self.local.get_mut(&in_flight.upstream_id) {
            local.room.record_refused(now, told);
        }
    }

    /// Returns whether all upstreams that could take a request are full, as far as this host
    /// knows.
    pub fn is_full(&self, now: Instant, fleet: &Fleet, demand: &Demand) -> bool {
        let listed = self.listed(now, fleet, demand).into_iter();
        let mut healthy = listed.filter(|upstream| self.is_healthy(now, upstream));
        healthy.next().is_some_and(|first| {
            !self.has_room(now, first) && healthy.all(|upstream| !self.has_room(now, upstream))
        })
    }

    /// Returns whether an upstream has room for one more request, as far as this host knows.
    pub(crate) fn has_room(&self, now: Instant, upstream: &Upstream) -> bool {
        self.room_left(now, upstream) != Some(0)
    }

    /// Returns what the upstreams of a service hold for `hosts` hosts, and how many further
    /// requests they have room for.
    pub fn supply(&self, now: Instant, fleet: &Fleet, service: &str, hosts: u32) -> (Supply, u32) {
        let mut supply = Supply { hosts, places: 0 };
        let mut room = 0;
        let upstreams = fleet.upstreams.iter();
        for upstream in upstreams.filter(|u| u.service == service && self.is_healthy(now, u)) {
            supply.places += self.limit(upstream).unwrap_or(upstream.slots);
            room += self.room_left(now, upstream).unwrap_or(hosts);
        }
        (supply, room)
    }

    /// Returns whether half of the slots of these upstreams are taken. Of those that are nearly
    /// idle by the last news there are few then, and all hosts together would fill them before the
    /// next.
    pub(crate) fn is_loaded(&self, now: Instant, upstreams: &[&Upstream], demand: &Demand) -> bool {
        let (running, slots) = self.occupancy(now, upstreams);
        self.has_line(demand) && slots > 0 && 2 * running >= slots
    }

    /// Returns whether a short request goes to the upstreams with the newest weights. While these
    /// have fewer free slots than requests run at the others, they take a part of the requests.
    pub(crate) fn newest_take(
        &self,
        now: Instant,
        newest: &[&Upstream],
        older: &[&Upstream],
        demand: &Demand,
    ) -> bool {
        let (running, slots) = self.occupancy(now, newest);
        let (running_older, _) = self.occupancy(now, older);
        let free = slots.saturating_sub(running);
        !self.has_line(demand)
            || slots == 0
            || free >= running_older
            || demand.random % running_older < free
    }

    /// Returns how many requests run at upstreams, and how many can.
    fn occupancy(&self, now: Instant, upstreams: &[&Upstream]) -> (u64, u64) {
        let sums = upstreams.iter().map(|upstream| {
            let running = self.load(now, &upstream.id).running;
            (u64::from(running), u64::from(upstream.slots))
        });
        sums.fold((0, 0), |(running, slots), (r, s)| (running + r, slots + s))
    }

    fn room_left(&self, now: Instant, upstream: &Upstream) -> Option<u32> {
        let sum = self.load(now, &upstream.id).running;
        let local = self.local.get(&upstream.id);
        match (self.limit(upstream), local) {
            (None, None) => None,
            (None, Some(local)) => local.room.is_closed(now).then_some(0),
            (Some(limit), None) => Some(limit.saturating_sub(sum)),
            (Some(limit), Some(local)) => Some(local.room.left(now, limit, sum)),
        }
    }

    /// Returns the number of requests that an upstream holds when it is full, if it is known.
    fn limit(&self, upstream: &Upstream) -> Option<u32> {
        self.telling.get(&upstream.service).copied().flatten()
    }
}

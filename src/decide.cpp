// Every decision of the policy. What it remembers is src/state.h; docs/design.md tells why each part is so.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>

#include "marblehub/policy.h"
#include "state.h"

namespace marblehub::policy {
namespace {

constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
constexpr Time kSweep = 50 * kMillisecond;  // how often held requests, probes and moves are looked at
constexpr Time kTrackBackoff = 3500 * kMillisecond;  // most: back, discovery counts as heard within 6 s

constexpr Time kProbeInterval = 5 * kSecond;  // stretched where probes are dear
constexpr std::size_t kWindow = 20;           // timings in the mean
constexpr int kMisses = 3;                    // in a row before a backend is down
constexpr double kActiveShare = 0.25, kRecentShare = 0.25, kLatencyShare = 0.5;
constexpr double kSharpness = 6;              // a backend half as good by the blend draws 1/64 as often
constexpr Time kRecentMemory = 10 * kSecond;  // connections count as new for about so long
constexpr double kToll = 8;                   // crossing zones counts as latency: price x aim x this

// Sampling of a big fleet.
constexpr double kSampleLeast = 12;   // backends: enough to lose a third and still choose in every zone
constexpr double kSampleRelays = 8;   // relays a backend: enough that one relay's crowd does not fill it
constexpr std::size_t kLooked = 128;  // candidates a draw looks at, or twice the root of the fleet if more
constexpr double kOutside = 0.0005;   // weight outside the sample: a way out when all of it is in trouble
constexpr double kTried = 1e-6;       // and of one that an earlier attempt of the same request was sent to

// Groups. A backend pays for a group once, whether it holds one connection of it or all.
constexpr double kGroupWide = 2, kGroupMost = 3;  // times its share, as others use them too; backends at most
constexpr double kGroupLate = 0.7;  // later than this part of the wanted time: others take its place
constexpr double kEased = 0.6, kFull = 0.95;  // loads: above the first others take it, at the second all

// Probing.
constexpr double kProbeBudget = 0.0045;  // points that probes may cost: under half of one in a hundred
constexpr double kUnseen = 100;  // requests of the fleet at its start, and one a second: down ones return
constexpr double kSpare = 4, kOverdraft = -2;  // probes left: below, only those held; down to this, suspects
constexpr double kProbesASecond = 20;          // on one backend from all relays: some % of a core at most
constexpr Time kHeldProbes = 8;  // a backend that holds our connections is probed so much oftener
constexpr Time kLateRecheck = 500 * kMillisecond;  // one whose report says that messages come late
constexpr int kLooks = 2;  // reports that a call waits for at most, each so long, where the last is older
constexpr Time kFreshReport = 2 * kSecond, kLookWait = 30 * kMillisecond;
constexpr Time kRecheck = 200 * kMillisecond;  // a suspect is probed again so soon, and a new one first

// Signs of slowness.
constexpr Time kEvidenceMemory = 10 * kSecond;  // one fades over about so long
constexpr Time kReportMemory = 6 * kSecond;     // a load report is rarer and says more
constexpr double kMostEvidence = 4;             // times the wanted time
constexpr double kRoom = 6, kLeastRoom = 0.02;  // what is left of its capacity counts to this power
constexpr double kNoted = 0.5;                  // a load: one above it is looked at oftener
constexpr double kMeanwhile = 3;                // connections sent to one between two reports of it
constexpr double kStuck = 4;                    // times its capacity: far over what clients ask for
constexpr Time kNews = 2 * kSecond;             // only newer signs move connections
constexpr Time kAdmissionNews = 5 * kSecond;    // or shut clients out

// Cold backends.
constexpr Time kListLag = 5 * kSecond;      // by then the list has told of a restart, if there was one
constexpr Time kAskedMemory = 2 * kSecond;  // a crowd: more calls over so long than come in the mean
constexpr double kColdPart = 1.7, kColdPower = 1.5;  // of its warmth: all may come in its first seconds
constexpr double kCrowdPower = 3, kCrowdMost = 20;   // divide its part of the sweeps: one call each at most
constexpr Time kFreshCold = 300 * kMillisecond;      // its report may be so old: others send there too

// Moves and admission.
constexpr double kFewest = 2;                  // connections that may always be set up at once
constexpr Time kMoveOffDead = kSecond;         // a connection leaves a down backend within about so long
constexpr Time kMoveOffLeaving = 4 * kSecond;  // all are off a draining one by then, evenly spread
constexpr Time kMoveOffSlow = 5 * kSecond;     // and one whose messages are late within about so long
constexpr double kMoveFrom = 0.8;   // a backend counts as filling up from this part of the wanted time
constexpr double kPressure = 0.75;  // when the mean load is over this, fewer are let in

}  // namespace

struct Balancer::Impl : Dice {
  Settings settings;
  Time now, began;
  std::vector<Action>* actions = nullptr;
  std::vector<Backend> backends;  // never shrinks: an index stays good
  std::unordered_map<std::string, int> index;
  std::map<std::uint64_t, Request> requests;
  double usual_load = 0;  // mean load hinted or noted, to count connections in usual ones
  Held held;
  double requests_seen = 0, probes_sent = 0;
  DecayingValue asked;          // requests, those that come back too
  SetupsOfSets setups;          // attempts that are out and do not stand yet
  double admitted = 1;          // the part of the new connections that is let in
  double share_of_one = 0;      // what a usual connection of each relay adds to the load of a unit of size
  double shortest_aim_ms = 50;  // of the messages on any connection
  std::size_t next_in_turn = 0;
  std::vector<int> all, near;       // indices of the backends; of the sampled ones, in any order
  std::set<std::uint64_t> waiting;  // requests not answered yet, and some that were since the last sweep
  Time sweep_due = -1;              // -1: not begun
  bool tracking = false, track_out = false;
  Time track_due = 0, track_sent = 0, track_backoff = kSecond;

  Impl(Settings s, std::uint64_t seed, Time at)
      : Dice{std::mt19937_64(seed)}, settings(std::move(s)), now(at), began(at) {
    shortest_aim_ms = shortest_message_aim_ms(settings, shortest_aim_ms);
  }

  // ---- Backend list and discovery ----------------------------------------------------------------

  int known(const std::string& address) const {
    auto it = index.find(address);
    return it == index.end() ? -1 : it->second;
  }

  void on(const MembersEvent& event) {
    track_out = false;
    if (event.form == ListForm::refused) {  // one scarce service for all: later each time, not in step
      tracking = false;
      track_due = std::max(now + jittered(kSecond), track_sent + jittered(track_backoff));
      track_backoff = std::min(2 * track_backoff, kTrackBackoff);
      return;
    }
    if (event.form == ListForm::remembered) {
      track_due = now + up_to(4 * kSecond);  // all relays start in step
    } else {
      tracking = true;
      track_backoff = kSecond;
    }
    if (event.form != ListForm::changes)
      for (Backend& b : backends) b.listed = false;
    if (event.entries)
      for (const BackendEntry& entry : *event.entries) apply(entry);
    for (Backend& b : backends)
      b.leaving_since = b.listed && !b.draining ? -1 : b.leaving_since < 0 ? now : b.leaving_since;
    choose_sample();
  }

  void apply(const BackendEntry& entry) {
    auto [it, fresh] = index.try_emplace(entry.address, static_cast<int>(backends.size()));
    if (fresh) {
      all.push_back(static_cast<int>(backends.size()));
      backends.emplace_back();
      backends.back().address = entry.address;
      backends.back().hash = mixed(name_hash(entry.address));
      backends.back().probe_due = now + up_to(kRecheck);
    }
    Backend& b = backends[it->second];
    b.take(entry);
    if (entry.start_time > b.listed_start) {  // it has restarted: what was known of the old process is void
      b.listed_start = entry.start_time;
      b.chill(entry.start_time, false);
      b.up();
      b.evidence = b.report = DecayingValue();
    }
  }

  // With many relays each uses only a sample of a big fleet: the same part of every zone, and a step further
  // than the relay before, so that every backend is in equally many.
  void choose_sample() {
    std::vector<Backend*> listed;
    near.clear();
    for (Backend& b : backends)
      if (b.listed) listed.push_back(&b);
    std::sort(listed.begin(), listed.end(), [](const Backend* a, const Backend* b) {
      return a->zone != b->zone ? a->zone < b->zone : a->address < b->address;
    });
    double part =
        std::max(kSampleLeast / static_cast<double>(listed.size()), kSampleRelays / settings.balancers);
    if (settings.groups) part = 1;  // a group's home is chosen from all, or each relay would have its own
    double step = settings.me * 0.6180339887;  // golden: any run of neighbouring relays is spread evenly
    for (std::size_t from = 0, to = 0; from < listed.size(); from = to) {
      while (to < listed.size() && listed[to]->zone == listed[from]->zone) ++to;
      for (std::size_t i = from; i < to; ++i) {
        double at = (static_cast<double>(i - from) + 0.5) / static_cast<double>(to - from) + step;
        listed[i]->sampled = at - std::floor(at) < part;
        if (listed[i]->sampled) near.push_back(static_cast<int>(listed[i] - backends.data()));
      }
    }
  }

  void ask_for_list() {
    if (!settings.ask_registry || tracking || track_out || now < track_due) return;
    track_out = true, track_sent = now, actions->push_back(Track{});
  }

  double seconds_served() const { return static_cast<double>(now - began) / kSecond; }

  // ---- Probing and health ------------------------------------------------------------------------

  // Stretched until neither the price a request nor the work of one backend passes its bound.
  Time probe_interval() const {
    double shares = 0;
    for (const Backend& b : backends)
      if (b.listed && (b.sampled || b.active > 0)) shares += b.active > 0 ? kHeldProbes : 1;
    double interval = std::max<double>(kProbeInterval, settings.balancers / kProbesASecond * kSecond);
    if (settings.price_probe > 0) {
      double request_rate = (requests_seen + 3.0 / settings.balancers) / (seconds_served() + 2);
      double probe_rate = request_rate * kProbeBudget / settings.price_probe;
      interval = std::max(interval, shares / probe_rate * kSecond);
    }
    return static_cast<Time>(std::min(interval, 600.0 * kSecond));
  }

  // Every probe counts, also of suspects.
  double probes_left() const {
    if (settings.price_probe <= 0) return 2 * kSpare;
    double requests = requests_seen + (kUnseen + seconds_served()) / settings.balancers;
    return requests * kProbeBudget / settings.price_probe - probes_sent;
  }

  void probe_due_backends() {
    if (!settings.may_probe) return;
    Time interval = probe_interval();
    for (std::size_t k = 0, from = random(); k < backends.size(); ++k) {
      Backend& b = backends[(from + k) % backends.size()];
      if (!b.listed || b.probe_out || !(b.sampled || b.active > 0 || b.misses > 0)) continue;
      if (b.active > 0 || b.down || b.level > kNoted)
        b.probe_due = std::min(b.probe_due, now + jittered(interval / kHeldProbes));
      double needed = b.misses > 0 ? kOverdraft : b.active > 0 ? 1 : kSpare;
      if (now < b.probe_due || probes_left() < needed) continue;
      send_probe(b);
      b.probe_due = now + jittered(interval);
    }
  }

  void send_probe(Backend& b) {
    probes_sent += 1;
    b.probe_out = true;
    actions->push_back(Probe{b.address});
  }

  void on(const ProbeResultEvent& event) {
    int i = known(event.backend);
    if (i < 0) return;
    Backend& b = backends[i];
    b.probe_out = false;
    if (event.outcome == Outcome::not_sent) return suspect(b);  // it never left here: no word on the backend
    if (event.outcome != Outcome::served) return missed(b);
    // What was said of it before is over; it may have restarted: the list will tell.
    if (b.down) b.evidence = b.report = DecayingValue(), b.chill(now, true);
    b.up();
    b.timed(static_cast<double>(event.rtt) / kMillisecond, kWindow);
    note_report(b, event.report);
  }

  // A probe past its time-out or a failed connect. Three in a row mark it down until a probe succeeds.
  void missed(Backend& b) {
    if (++b.misses >= kMisses) b.down = true;
    if (!b.down) suspect(b);
  }

  // At a stretched interval three misses would take minutes.
  void suspect(Backend& b) { b.probe_due = std::min(b.probe_due, now + jittered(kRecheck)); }

  // What is said of slowness counts as latency: bounded, or a hung one's would outlast the trouble by 30 s.
  double capped(double ms) const { return std::min(ms, kMostEvidence * shortest_aim_ms); }
  void worsen(Backend& b, double ms) { b.evidence.set(capped(std::max(evidence(b), ms)), now); }
  double evidence(const Backend& b) const {
    return std::max(b.evidence.at(now, kEvidenceMemory), b.report.at(now, kReportMemory));
  }

  // An older sign has been answered already, by this relay and by all others that saw it.
  bool fresh(const Backend& b, Time within) const {
    return now - std::max(b.evidence.since, b.report.since) < within;
  }

  // Waiting grows as spare capacity vanishes: 0.4 of the wanted time at a load of 0.85, all of it at 0.93.
  void note_report(Backend& b, const LoadReport& report) {
    if (report.load < 0) return;
    b.level = report.load;
    b.report_at = now;
    b.report.set(capped(shortest_aim_ms * 0.07 * report.load / std::max(0.05, 1 - report.load)), now);
    // On sockets no message tells of its delay; only the next report says whether moving has helped.
    if (b.report.value >= kMoveFrom * shortest_aim_ms)
      b.probe_due = std::min(b.probe_due, now + jittered(kLateRecheck));
  }

  // ---- Blend and pick ----------------------------------------------------------------------------

  // Whether a further attempt may be made at all. Once it may not it never will: it is answered at once.
  bool repeatable(const Request& r) const {
    const RequestClass& c = settings.classes[r.request_class];
    if (r.ran_at < 0 || c.repeat == Repeat::safe) return true;
    return c.repeat == Repeat::keyed && now <= r.ran_at + c.window_us;
  }

  bool allowed(const Backend& b, const Request& r) const {
    if (!b.listed || b.draining || !repeatable(r) || (r.only && !r.only->count(b.address))) return false;
    const RequestClass& c = settings.classes[r.request_class];
    if (r.ran_at < 0 || c.repeat == Repeat::safe) return true;
    const Backend& first = backends[r.ran_on];
    if (c.dedup_scope == DedupScope::zone) return b.zone == first.zone;
    if (c.dedup_scope == DedupScope::cell) return b.cell == first.cell;
    return true;
  }

  // Its weight as it fills up. An old report of fullness is not believed.
  double ease(const Backend& b) const {
    if (evidence(b) > kGroupLate * shortest_aim_ms) return 1e-9;
    double level = now - b.report_at < kReportMemory ? b.level : std::min(b.level, kEased);
    return std::pow(std::clamp((kFull - level) / (kFull - kEased), 0.01, 1.0), 4);
  }

  // The backends that a group keeps to, in an order that its number and their names give, the same at all
  // relays; one that is full, late, down or cold gives way to the next. As wide as its share of what this
  // relay holds, of which one says little: many relays with wide sets scatter it. `fair`: held on each.
  std::vector<char> home(const Request& r, const std::vector<int>& may, double usual, double fair) {
    std::vector<char> in(may.size(), r.group == 0);
    if (r.group == 0) return in;
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t k = 0; k < may.size(); ++k) {
      const Backend& b = backends[may[k]];
      if (b.down) continue;
      double u = (static_cast<double>(mixed(b.hash ^ r.group) >> 11) + 1) * 0x1p-53;
      double big = warmth(b) < 1 ? usual : b.scale;  // a crowd would be a big cold one's end
      double weight = b.scale * big * ease(b) * (r.has_tried(may[k]) ? kTried : 1);
      ranked.emplace_back(-std::log(u) / weight, k);
    }
    std::sort(ranked.begin(), ranked.end());
    double need = usual * std::clamp(kGroupWide * held.of(r.group) / (kGroupWide + fair), 1.0, kGroupMost);
    for (auto [score, k] : ranked) {
      if (need <= 0) break;
      need -= backends[may[k]].scale * warmth(backends[may[k]]);
      in[k] = open(backends[may[k]]);
    }
    return in;
  }

  // In a big fleet each draw looks at a part, chosen anew; a group's home is the same only over the whole.
  int pick(const Request& r) {
    std::size_t looked = std::max(kLooked, 2 * static_cast<std::size_t>(std::sqrt(near.size())));
    if (near.size() > looked && r.group == 0) {
      for (std::size_t k = 0; k < looked; ++k) std::swap(near[k], near[k + random() % (near.size() - k)]);
      int i = pick(r, {near.begin(), near.begin() + static_cast<std::ptrdiff_t>(looked)}, false);
      if (i >= 0) return i;
    }
    return pick(r, all, true);
  }

  // Draws by the blend of active counts, recent connections and latency; -1: none may be used.
  int pick(const Request& r, std::vector<int> may, bool whole) {
    std::size_t up = 0, sampled = 0;
    std::erase_if(may, [&](int i) { return !allowed(backends[i], r); });
    for (int i : may) up += !backends[i].down, sampled += backends[i].sampled && !backends[i].down;
    if (may.empty()) return -1;
    if (up == 0)
      return whole ? may[next_in_turn++ % may.size()] : -1;  // all down: round robin, as without probes

    double loads = 0, recents = 0, latencies = 0, timed = 0, scales = 0, level = 0, best = 1e18;
    std::vector<double> recent(may.size());
    for (std::size_t k = 0; k < may.size(); ++k) {
      const Backend& b = backends[may[k]];
      if (b.down || (!b.sampled && sampled > 0)) continue;
      recent[k] = b.recent.at(now, kRecentMemory);
      scales += b.scale, loads += b.load, recents += recent[k];
      level += 1;
      if (b.latency > 0) latencies += b.latency, timed += 1, best = std::min(best, b.latency);
    }
    double mean = timed > 0 ? latencies / timed : 0;
    double soften = std::max(0.1, mean / 2);
    if (timed == 0) best = 0;
    double toll = kToll * settings.price_cross_zone * shortest_aim_ms;
    double total = 0;
    std::vector<double> weight(may.size());
    std::vector<char> at_home = home(r, may, scales / level, loads / level);
    for (std::size_t k = 0; k < may.size(); ++k) {
      const Backend& b = backends[may[k]];
      if (b.down || !at_home[k]) continue;
      double size = b.scale / scales;
      double ms = (b.latency > 0 ? b.latency : mean) + evidence(b) + (b.zone == settings.zone ? 0 : toll);
      double few_active = 1 / (1 + b.load / (size * level) / (1 + loads / level));
      double few_recent = 1 / (1 + recent[k] / (size * level) / (1 + recents / level));
      if (warmth(b) < 1) few_active = few_recent = 0.5;  // a cold backend's low counts must not pull crowds
      double quick = (best + soften) / (ms + soften);
      double blend = kActiveShare * few_active + kRecentShare * few_recent + kLatencyShare * quick;
      weight[k] = b.scale * std::pow(blend, kSharpness) * std::pow(0.25, b.misses);
      weight[k] *= std::pow(std::clamp(1 - b.level, kLeastRoom, 1.0), kRoom);
      weight[k] *= open(b) ? warmth(b) : 0;
      if (!b.sampled) weight[k] *= kOutside;
      if (r.has_tried(may[k])) weight[k] *= kTried;
      total += weight[k];
    }
    double drawn = uniform() * total;
    for (std::size_t k = 0; k < may.size(); ++k)
      if (weight[k] > 0 && (drawn -= weight[k]) < 0) return may[k];
    return -1;
  }

  // ---- Cold ramp ---------------------------------------------------------------------------------

  double warmth(const Backend& b) const {
    return slow_start_factor(b.cold_since, now, settings.cold_share, settings.warm_within_us);
  }

  bool open(const Backend& b) const { return warmth(b) >= 1 || b.drawn; }
  bool has_room(const Backend& b) const { return !b.down && (warmth(b) < 1 || b.level < kEased); }

  // A relay uses a cold backend in some of its sweeps only, drawn anew. A call that waits takes whichever
  // opens first, so small ones open less often, and in a crowd, with a call for every sweep, all do by far.
  void open_cold_backends() {
    double scales = 1e-9, roomy = 0, count = 0;
    for (const Backend& b : backends)
      if (b.listed && b.sampled) count += 1, scales += b.scale, roomy += has_room(b) ? b.scale : 0;
    double ordinary = std::max(1.0, requests_seen / (seconds_served() + 2) * kAskedMemory / kSecond);
    double crowd = std::max(1.0, asked.at(now, kAskedMemory) / ordinary);
    double part = kColdPart * roomy / scales / std::min(kCrowdMost, std::pow(crowd, kCrowdPower));
    if (settings.groups) part /= kGroupMost;  // all of a group come
    part *= count / scales;                   // for each unit of size
    for (Backend& b : backends) {
      if (b.restart_unsure && now - b.cold_since > kListLag) b.chill(0, false);
      if (warmth(b) < 1) b.drawn = uniform() < part * b.scale * std::pow(warmth(b), kColdPower);
    }
  }

  // ---- Request life ------------------------------------------------------------------------------

  double learn_usual(double load) {
    usual_load = usual_load > 0 ? usual_load + 0.02 * (load - usual_load) : load;
    return usual_load;
  }

  Request& admit(const RequestEvent& event) {
    Request& r = requests[event.id];
    r.request_class = event.request_class;
    r.only = event.only;
    r.deadline = now + event.expires_in;
    if (settings.groups) r.group = event.group;
    if (event.load_hint > 0) r.load = event.load_hint / learn_usual(event.load_hint);
    return r;
  }

  void on(const RequestEvent& event) {
    if (requests.count(event.id) || !has_class(event)) return;
    requests_seen += 1;
    asked.add(1, now, kAskedMemory);
    waiting.insert(event.id);
    Request& r = admit(event);
    if (uniform() < admitted) return place(event.id, r);
    reject(event.id, r, settings.max_retry_after_us / 2 + up_to(settings.max_retry_after_us / 2));
  }

  void on(const HandoverEvent& event) {
    int i = known(event.backend);
    if (requests.count(event.request.id) || i < 0 || !has_class(event.request)) return;
    Request& r = admit(event.request);
    r.attempts = 1;
    r.backend = i;
    r.out = r.open = true;
    Backend& b = backends[i];  // nothing is known yet of a backend that may be full already
    b.count(r, held);
    if (b.timings.empty()) b.probe_due = std::min(b.probe_due, now + up_to(kRecheck));
  }

  bool has_class(const RequestEvent& event) const {
    return event.request_class >= 0 && event.request_class < static_cast<int>(settings.classes.size());
  }

  // Where probes are dear, reports are old: one is asked anew before a call is sent there.
  bool look_first(Backend& b, Request& r) {
    Time fresh_for = warmth(b) < 1 ? kFreshCold : kFreshReport;
    if (settings.price_probe <= 0 || r.looks >= kLooks || now - b.report_at < fresh_for) return false;
    if (!settings.may_probe || (!b.probe_out && probes_left() < 1)) return false;
    if ((b.down && warmth(b) >= 1) || !settings.told_load) return false;  // in its turn; no report comes
    r.looks += 1, r.look_until = now + kLookWait;
    if (!b.probe_out) send_probe(b);
    return true;
  }

  // The next attempt, if one may be made and can still succeed; else the request is held or answered.
  void place(std::uint64_t id, Request& r) {
    Time left = r.deadline - now - kSweep;  // the last answer goes out well before the deadline
    int tries_left = settings.max_attempts - r.attempts;
    const RequestClass& c = settings.classes[r.request_class];
    if (left <= 0 || tries_left <= 0 || !repeatable(r)) return finish(id, r);
    Setups& begun = setups.of(r.only, now);
    if (begun.at_limit(now, c.slo_us)) return;  // held: the sweep tries again
    int i = pick(r);
    if (i < 0) return;
    Time attempt_timeout = std::min(left, std::max(c.slo_us, left / tries_left));
    if (tries_left == 1 || left - attempt_timeout < settings.connect_timeout_us) attempt_timeout = left;
    Backend& b = backends[i];
    if (look_first(b, r)) return;
    if (b.report_at >= began)  // until the next; of many relays few send to the same one meanwhile
      b.level += std::min(0.5 * settings.balancers, kMeanwhile) * r.load * share_of_one / b.scale;
    b.recent.add(r.load, now, kRecentMemory);
    b.drawn = false;
    r.attempts += 1;
    r.backend = i;
    r.out = true;
    begun.beginning += c.stream;
    r.sent_at = now;
    r.tried.push_back(i);
    actions->push_back(Submit{id, b.address, now + attempt_timeout});
    if (!c.stream) b.count(r, held);  // no word comes when it is accepted: it counts from here
  }

  // The one final answer. A refusal promises that nothing ran twice if the client tries again.
  void finish(std::uint64_t id, Request& r) {
    const RequestClass& c = settings.classes[r.request_class];
    bool may_have_run = r.ran_at >= 0 || r.out;
    bool harmless = !may_have_run || c.repeat == Repeat::safe ||
                    (c.repeat == Repeat::keyed && c.dedup_scope == DedupScope::all);
    if (harmless) return reject(id, r, up_to(settings.max_retry_after_us / 4));
    actions->push_back(Fail{id});
    end(id, r);
  }

  void reject(std::uint64_t id, Request& r, Time pause) {
    actions->push_back(Reject{id, settings.may_send_retry_after ? pause : 0});
    end(id, r);
  }

  void end(std::uint64_t id, Request& r) {
    r.answered = true;
    if (!r.out) requests.erase(id);
  }

  Request* find(std::uint64_t id, int attempt) {
    auto it = requests.find(id);
    return it != requests.end() && it->second.out && it->second.attempts == attempt + 1 ? &it->second
                                                                                        : nullptr;
  }

  void on(const EstablishedEvent& event) {
    Request* r = find(event.id, event.attempt);
    if (!r || r->open) return;
    r->open = true;
    Setups& begun = setups.of(r->only, now);
    if (2 * begun.beginning >= begun.limit) begun.limit += 1;
    begun.beginning -= 1;
    if (!r->counted) backends[r->backend].count(*r, held);
  }

  void on(const ResultEvent& event) {
    Request* r = find(event.id, event.attempt);
    if (!r) return;
    Backend& b = backends[r->backend];
    r->out = false;
    if (!r->open) setups.of(r->only, now).beginning -= settings.classes[r->request_class].stream;
    b.uncount(*r, held);
    judge(b, event, *r);
    if (event.terminal || r->answered || r->open) return void(requests.erase(event.id));
    bool never_ran = event.outcome == Outcome::full || event.outcome == Outcome::connect_failed ||
                     event.outcome == Outcome::not_sent;
    if (!never_ran && r->ran_at < 0) r->ran_at = r->sent_at, r->ran_on = r->backend;
    place(event.id, *r);
  }

  // One that failed while being set up may have met a jam of all: fewer are out at once until some succeed.
  void judge(Backend& b, const ResultEvent& event, const Request& r) {
    note_report(b, event.report);
    if (event.outcome == Outcome::connect_failed) missed(b);
    if (event.outcome == Outcome::reset) suspect(b), worsen(b, 2 * shortest_aim_ms);
    if (event.outcome == Outcome::full) worsen(b, kMostEvidence * shortest_aim_ms);
    if (r.open || (event.outcome != Outcome::error && event.outcome != Outcome::timeout)) return;
    Setups& begun = setups.of(r.only, now);
    begun.failures.add(1, now, settings.classes[r.request_class].slo_us);
    if (r.sent_at <= begun.limit_cut) return;
    begun.limit = std::max(kFewest, std::min(begun.limit, begun.beginning + 1.0) / 2);
    begun.limit_cut = now;
  }

  void on(const NoteEvent& event) {
    Request* r = find(event.id, event.attempt);
    if (!r) return;
    Backend& b = backends[r->backend];
    if (event.kind == NoteKind::messages_slow) {
      b.evidence.set(capped(event.level), now);
    } else if (event.level > 0) {
      double load = event.level / learn_usual(event.level);
      if (r->counted) b.load = std::max(0.0, b.load + load - r->load);
      r->load = load;
    }
  }

  void on(const ClientGoneEvent& event) {
    auto it = requests.find(event.id);
    if (it != requests.end()) end(it->first, it->second);
  }

  // ---- Standing connections ----------------------------------------------------------------------

  // A standing connection earns nothing on a backend that is down, or whose messages come later than wanted.
  bool troubled(const Backend& b) const {
    if (b.active == 0) return false;
    bool late = fresh(b, kNews) && evidence(b) >= kMoveFrom * shortest_aim_ms;
    return b.leaving_since >= 0 || b.down || stuck(b) || late;
  }

  // Whether one leaves it in this sweep: spread in time, and not when most others are no better.
  bool leaves(const Request& r) {
    const Backend& b = backends[r.backend];
    // All leave a draining one before it stops, at an even pace, and none where there is nowhere to go.
    if (b.leaving_since >= 0) {
      Time left = b.leaving_since + kMoveOffLeaving - now;
      bool somewhere = std::any_of(backends.begin(), backends.end(), [&](auto& o) { return usable(o); });
      return somewhere && (left <= kSweep || uniform() * static_cast<double>(left) < kSweep);
    }
    double lateness = std::min(1.0, evidence(b) / shortest_aim_ms);
    double rate =
        b.down || stuck(b) ? 1.0 / kMoveOffDead : lateness * lateness * std::min(2.0, r.load) / kMoveOffSlow;
    return uniform() < rate * kSweep && room_elsewhere();
  }

  // One that hangs may still answer probes, and so is not down, but asked for many times what it can do.
  bool stuck(const Backend& b) const { return b.level > kStuck; }

  bool usable(const Backend& b) const { return b.listed && !b.draining && !b.down && !stuck(b); }
  bool late(const Backend& b) const { return fresh(b, kAdmissionNews) && evidence(b) > shortest_aim_ms; }

  // Whether at most half of what can be judged is late or down: else moving is no help.
  bool room_elsewhere() const {
    int bad = 0, judged = 1;  // one unknown counts as good
    for (const Backend& b : backends) {
      if (!b.listed || b.draining) continue;
      judged += b.active > 0 || b.down || evidence(b) >= 1;
      bad += b.down || late(b);
    }
    return admitted < 1 || 2 * bad <= judged;
  }

  // When the fleet as a whole is full, every further connection makes all late: fewer are let in.
  void adapt_admission() {
    double full = 0, scales = 0, held = 0;
    for (const Backend& b : backends) {
      if (!usable(b)) continue;
      scales += b.scale, held += b.load * settings.balancers;
      full += b.scale * std::max(std::min(b.level, 1.5), late(b) ? 1.0 : 0.0);
    }
    double over = scales > 0 ? full / scales - kPressure : 0;
    admitted = over > 0 ? std::max(0.05, admitted * (1 - over)) : std::min(1.0, admitted + 0.005);
    share_of_one = held > 5 ? full / held : 0;
  }

  void sweep() {
    ask_for_list();
    open_cold_backends();
    adapt_admission();
    probe_due_backends();
    setups.forget_unused(now);
    std::vector<char> in_trouble;
    for (const Backend& b : backends) in_trouble.push_back(troubled(b));
    if (std::find(in_trouble.begin(), in_trouble.end(), 1) != in_trouble.end())
      for (auto& [id, r] : requests)
        if (r.open && !r.answered && in_trouble[r.backend] && leaves(r))
          actions->push_back(Redirect{id}), r.answered = true;
    std::vector<std::uint64_t> ids(waiting.begin(), waiting.end());
    for (std::uint64_t id : ids) {
      auto it = requests.find(id);
      if (it == requests.end() || it->second.open || it->second.answered)
        waiting.erase(id);
      else if (!it->second.out && now >= it->second.look_until)
        place(id, it->second);
      else if (now >= it->second.deadline - kSweep / 4)
        finish(id, it->second);  // the time-out never came: the client is owed its answer all the same
    }
  }

  void on(const TimerEvent&) {
    if (now < sweep_due) return;  // not our timer
    sweep();
    next_sweep(kSweep);
  }

  void next_sweep(Time after) {
    sweep_due = now + after;
    actions->push_back(SetTimer{after, 0});
  }
};

Balancer::Balancer(Settings settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Time now, const Event& event, std::vector<Action>& actions) {
  Impl& self = *impl_;
  self.now = now;
  self.actions = &actions;
  if (self.sweep_due < 0) self.next_sweep(1 + self.up_to(kSweep));  // relays start in step
  std::visit([&self](const auto& e) { self.on(e); }, event);
  self.actions = nullptr;
}

void Balancer::shared_by(int balancers) {
  double left = impl_->probes_left();
  impl_->settings.balancers = balancers;
  impl_->probes_sent += impl_->probes_left() - left;  // what was earned so far neither grows nor is lost
}

Balancer::Counts Balancer::counts() const { return counts_of(impl_->requests, impl_->backends); }
std::vector<std::string> Balancer::down() const { return down_of(impl_->backends); }

int Balancer::active(const std::string& backend) const {
  int i = impl_->known(backend);
  return i < 0 ? 0 : impl_->backends[i].active;
}

}  // namespace marblehub::policy

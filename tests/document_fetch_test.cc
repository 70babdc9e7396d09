/** @file document_fetch_test.cc How a balancer that is behind gets a document:
 * deltas onto later versions, fetches, and when and where it fetches. */

#include <set>

#include "document/compress_func.h"
#include "document/document_base.h"
#include "document/fetch_plan_base.h"
#include "document/pacer_base.h"
#include "message/message_func.h"
#include "packet/pool_base.h"
#include "tests/test_text.h"

using namespace cuminvane;

namespace {

constexpr DocumentSource kLocal{{1, 1}, true};
constexpr DocumentSource kOtherLocal{{2, 1}, true};
constexpr DocumentSource kRemote{{3, 1}, false};

DocumentStamp StampOf(uint64_t version) {
  return {ConfigVersion{version}, version};
}

/** @return A list of VMs in which each VM's incarnation is the one given. */
std::string ListOf(uint64_t version,
                   const std::map<uint64_t, uint64_t>& incarnations) {
  std::string text = "[list]\nversion = " + std::to_string(version) + "\n";
  for (const auto& [vm, incarnation] : incarnations)
    text += "[vm " + std::to_string(vm) +
            "]\nincarnation = " + std::to_string(incarnation) +
            "\nrole = backend\nservice = desk\ndata_centre = a\naddress = "
            "10.0.0.1:80\n";
  return text;
}

}  // namespace

TEST_GROUP(DocumentFetches) {
  using Store = DocumentStore<VmListDocument>;
  RandomEngine random{1};
  Output out;
  TimePoint now = TimePoint(Seconds(10));
  const std::vector<Endpoint> peers{{1, 1}};

  void Offer(Store & store, const std::string& text) {
    CHECK(store.Offer(now, text, peers, random, out).has_value());
  }

  /** @return The push that the store's last offer sent. */
  std::string LastPush() {
    CHECK(!out.datagrams.empty());
    const std::string bytes = out.datagrams.back().bytes;
    out.Clear();
    return bytes;
  }

  void Push(Store & store, const std::string& bytes) {
    const auto push = Decode<DocumentPush>(bytes, DecodeHeader(bytes).value());
    CHECK(push.has_value());
    store.OnPush(now, push.value(), {}, random, out);
  }

  /** Lets `to` fetch from `from` until it has nothing to fetch. */
  void RunFetches(Store & from, Store & to, Milliseconds time) {
    for (Milliseconds elapsed{0}; elapsed < time; elapsed += Milliseconds(10)) {
      now += Milliseconds(10);
      out.Clear();
      to.OnPeerStamp(now, kLocal, from.Stamp(), random);
      to.Tick(now, random, out);
      const std::vector<PeerFetch> fetches = out.fetches;
      for (const PeerFetch& fetch : fetches)
        Fetch(from, to, fetch);
    }
  }

  void Fetch(Store & from, Store & to, const PeerFetch& fetch) {
    const auto request = Decode<DocumentFetch>(
        fetch.request, DecodeHeader(fetch.request).value());
    const auto answer = from.AnswerFetch(request.value().have);
    if (!answer) {
      to.OnFetchFailed(now, random);
      return;
    }
    const auto header = Decode<DocumentAnswer>(
        answer->header, DecodeHeader(answer->header).value());
    to.OnFetched(now, header.value(), *answer->content, {}, random, out);
  }
};

/** Two watchers read the platform at different revisions, so their deltas do
 * not join. Each delta names every section that changed since its start. */
TEST(DocumentFetches, DeltaFromAnOlderVersionIsAppliedToALaterOne) {
  Store watcher;
  Store member;
  Offer(watcher, ListOf(10, {{1, 1}, {2, 1}, {3, 1}}));
  out.Clear();
  Offer(watcher, ListOf(20, {{1, 5}, {2, 5}, {4, 1}}));
  const std::string push = LastPush();
  // The member has version 15 from another watcher: only VM 1 had changed.
  Offer(member, ListOf(15, {{1, 5}, {2, 1}, {3, 1}}));
  Push(member, push);
  CHECK(member.Stamp() == watcher.Stamp());
  CHECK(*member.Current() == *watcher.Current());
}

/** A balancer that starts during an evacuation, and that the store turns away,
 * must not place flows in the data centre. */
TEST(DocumentFetches, StartingBalancerGetsEvacuationsFromAPeer) {
  Store running;
  Store starting;
  Offer(running, ListOf(10, {{1, 1}}) + "[evacuation a]\nreason = operator\n");
  RunFetches(running, starting, Milliseconds(3000));
  CHECK(starting.Current() != nullptr);
  BackendPool pool("a", FlowLimits{});
  pool.Sync(*starting.Current(), Config{}, now);
  const PoolChoice choice =
      pool.Choose(ServiceIdOf("desk"), VmId{}, 0, now, random);
  CHECK(choice.member == nullptr);
  STRCMP_EQUAL("evacuated", choice.reason);
}

/** A member with other contents must not take the result of the delta. */
TEST(DocumentFetches, DeltaWithAnotherResultIsRefusedAndTheDocumentFetched) {
  Store watcher;
  Store member;
  Offer(watcher, ListOf(10, {{1, 1}, {2, 1}}));
  out.Clear();
  Offer(watcher, ListOf(20, {{1, 5}, {2, 1}}));
  const std::string push = LastPush();
  Offer(member, ListOf(15, {{1, 1}, {2, 9}}));
  Push(member, push);
  LONGS_EQUAL(15, member.Stamp().version.value);
}

/** The other balancer has not seen the change in version 15. */
TEST(DocumentFetches, ChangeTakenBackByARestoreKeepsNoBalancerBehind) {
  Store first;
  Store second;
  Offer(first, ListOf(10, {{1, 1}, {2, 1}}));
  Offer(first, ListOf(20, {{1, 5}, {2, 1}}));
  Offer(second, ListOf(15, {{1, 1}, {2, 9}}));
  RunFetches(first, second, Milliseconds(2000));
  CHECK(first.Stamp() == second.Stamp());
  CHECK(*first.Current() == *second.Current());
}

TEST(DocumentFetches, PushThatOvertakesAFetchCausesNoFetchOfTheWholeText) {
  Store first;
  Store second;
  Offer(first, ListOf(10, {{1, 1}}));
  Offer(second, ListOf(10, {{1, 1}}));
  out.Clear();
  Offer(first, ListOf(20, {{1, 2}}));
  const std::string push = LastPush();
  const auto answer = first.AnswerFetch(second.Stamp());
  Push(second, push);
  const auto header = Decode<DocumentAnswer>(
      answer->header, DecodeHeader(answer->header).value());
  second.OnFetched(now, header.value(), *answer->content, {}, random, out);
  Offer(first, ListOf(30, {{1, 3}}));
  for (int tick = 0; tick < 100 && out.fetches.empty(); ++tick) {
    now += Milliseconds(10);
    second.OnPeerStamp(now, kLocal, first.Stamp(), random);
    second.Tick(now, random, out);
  }
  const std::string& request = out.fetches.at(0).request;
  const auto fetch =
      Decode<DocumentFetch>(request, DecodeHeader(request).value());
  CHECK(fetch.value().have == second.Stamp());
}

/** The document is too large for datagrams. */
TEST(DocumentFetches, StartingBalancerFetchesTheWholeDocument) {
  Store first;
  Store second;
  std::map<uint64_t, uint64_t> incarnations;
  for (uint64_t vm = 1; vm <= 3000; ++vm)
    incarnations[vm] = vm;
  Offer(first, ListOf(9, incarnations));
  RunFetches(first, second, Milliseconds(100));
  CHECK(first.Stamp() == second.Stamp());
  CHECK(*first.Current() == *second.Current());
}

/** A fetch brings all missing changes at once, but not the whole document. */
TEST(DocumentFetches, BalancerBehindFetchesOnlyTheDifference) {
  Store first;
  Store second;
  std::map<uint64_t, uint64_t> incarnations;
  for (uint64_t vm = 1; vm <= 3000; ++vm)
    incarnations[vm] = vm * 7919;
  Offer(first, ListOf(9, incarnations));
  Offer(second, ListOf(9, incarnations));
  for (uint64_t version = 10; version < 40; ++version) {
    incarnations[version] = version;
    Offer(first, ListOf(version, incarnations));
  }
  const auto whole = first.AnswerFetch({});
  const auto difference = first.AnswerFetch(second.Stamp());
  CHECK(difference->content->size() * 10 < whole->content->size());
  RunFetches(first, second, Milliseconds(400));
  CHECK(first.Stamp() == second.Stamp());
}

TEST(DocumentFetches, BalancerWithNothingNewerAnswersNoFetch) {
  Store store;
  CHECK(!store.AnswerFetch({}).has_value());
  Offer(store, ListOf(9, {{1, 1}}));
  CHECK(!store.AnswerFetch(store.Stamp()).has_value());
}

/** A peer's answer is not trusted: damaged or oversized content is refused. */
TEST(DocumentFetches, DamagedContentIsRefused) {
  Store first;
  Store second;
  Offer(first, ListOf(9, {{1, 1}}));
  const auto answer = first.AnswerFetch({});
  const DocumentAnswer header{1, {}, first.Stamp()};
  const std::string& content = *answer->content;
  for (size_t size = 0; size < content.size(); ++size)
    second.OnFetched(now, header, content.substr(0, size), {}, random, out);
  CHECK(second.Current() == nullptr);
  second.OnFetched(now, header,
                   Compress(std::string(kMaxContentBytes + 1, 'x')), {}, random,
                   out);
  CHECK(second.Current() == nullptr);
  CHECK_CODE(ResultCode::kGarbage, Decompress("no frame").error().code);
}

TEST_GROUP(FetchPlans) {
  RandomEngine random{1};
  TimePoint now = TimePoint(Seconds(10));
  FetchPlan plan;

  void ReportNewer(const DocumentSource& source, uint64_t version,
                   bool has_document) {
    plan.OnNewerVersion(source, StampOf(version), has_document, now, random);
  }

  /** @return Time until a fetch starts, in steps of 10 ms; at most `limit`. */
  Milliseconds TimeToStart(Milliseconds limit) {
    for (Milliseconds elapsed{0}; elapsed < limit;
         elapsed += Milliseconds(10)) {
      if (plan.StartDue(now, random))
        return elapsed;
      now += Milliseconds(10);
    }
    return limit;
  }
};

/** Nothing else can bring a starting balancer its documents sooner. */
TEST(FetchPlans, StartingBalancerFetchesAtOnce) {
  ReportNewer(kLocal, 5, false);
  CHECK(plan.StartDue(now, random) == kLocal.peer);
}

/** A delta of the new version is usually on its way. */
TEST(FetchPlans, BalancerWithADocumentWaitsForThePush) {
  ReportNewer(kLocal, 5, true);
  CHECK(!plan.StartDue(now, random).has_value());
  CHECK(TimeToStart(Seconds(1)) >= Milliseconds(150));
}

TEST(FetchPlans, OnlyOneFetchRunsAtATime) {
  ReportNewer(kLocal, 5, false);
  ReportNewer(kOtherLocal, 6, false);
  CHECK(plan.StartDue(now, random).has_value());
  now += Seconds(59);
  CHECK(!plan.StartDue(now, random).has_value());
}

/** The end of a fetch was never reported, because its handler failed. */
TEST(FetchPlans, FetchWithoutAnEndIsGivenUp) {
  ReportNewer(kLocal, 5, false);
  CHECK(plan.StartDue(now, random) == kLocal.peer);
  ReportNewer(kOtherLocal, 5, false);
  now += Seconds(60);
  CHECK(!plan.StartDue(now, random).has_value());
  now += Seconds(1);
  CHECK(plan.StartDue(now, random) == kOtherLocal.peer);
}

/** Bytes between data centres are dear, and every data centre has a watcher. */
TEST(FetchPlans, OtherDataCentresAreAskedOnlyWithoutProgress) {
  ReportNewer(kRemote, 9, true);
  // The own data centre gets on, though always a little later.
  for (uint64_t version = 1; version <= 8; ++version) {
    now += Milliseconds(700);
    CHECK(!plan.StartDue(now, random).has_value());
    plan.OnProgress(StampOf(version), now, random);
    ReportNewer(kRemote, 9 + version, true);
  }
  CHECK(TimeToStart(Seconds(5)) >= Milliseconds(1200));
}

TEST(FetchPlans, OwnDataCentreIsPreferredToANewerVersionElsewhere) {
  ReportNewer(kRemote, 9, true);
  ReportNewer(kLocal, 5, true);
  now += Seconds(5);
  CHECK(plan.StartDue(now, random) == kLocal.peer);
}

/** A peer that fails must not be asked again and again, nor all at once. */
TEST(FetchPlans, DelayGrowsWithEachFailureAndEndsWithProgress) {
  std::vector<Milliseconds> delays;
  for (int failure = 0; failure < 8; ++failure) {
    ReportNewer(kLocal, 5, false);
    delays.push_back(TimeToStart(Seconds(10)));
    plan.OnEnded(false, now, random);
  }
  CHECK(delays[1] >= Milliseconds(100));
  CHECK(delays[6] >= Milliseconds(3200));
  CHECK(delays[7] >= Milliseconds(3200) && delays[7] <= Milliseconds(4810));
  plan.OnProgress(StampOf(5), now, random);
  ReportNewer(kLocal, 6, true);
  CHECK(TimeToStart(Seconds(10)) <= Milliseconds(160));
}

/** A source that failed is not used until it reports its version again. */
TEST(FetchPlans, FailedSourceGivesWayToAnother) {
  ReportNewer(kLocal, 5, false);
  CHECK(plan.StartDue(now, random) == kLocal.peer);
  ReportNewer(kOtherLocal, 5, false);
  plan.OnEnded(false, now, random);
  now += Seconds(1);
  CHECK(plan.StartDue(now, random) == kOtherLocal.peer);
}

/** Many balancers are behind at once; they must not all ask the same one. */
TEST(FetchPlans, SourcesAreChosenAtRandomAmongTheNewest) {
  std::set<Endpoint> used;
  for (int balancer = 0; balancer < 50; ++balancer) {
    FetchPlan one;
    for (uint32_t peer = 1; peer <= 10; ++peer)
      one.OnNewerVersion({{peer, 1}, true}, StampOf(peer <= 2 ? 4 : 5), false,
                         now, random);
    const auto chosen = one.StartDue(now, random);
    CHECK(chosen.has_value() && chosen->ip > 2);
    used.insert(*chosen);
  }
  CHECK(used.size() >= 6);
}

TEST_GROUP(Pacers){};

/** 62,500 bytes a second are a quarter of a link of 2 Mbit/s. */
TEST(Pacers, AllTransfersTogetherStayWithinTheRate) {
  Pacer pacer(62500);
  const TimePoint start(Seconds(10));
  TimePoint last;
  for (int piece = 0; piece < 100; ++piece)
    last = pacer.Reserve(4096, start);
  CHECK(last - start >= Microseconds(99 * 65536));
  // An idle pacer gives no credit for the past.
  const TimePoint later = last + Seconds(60);
  CHECK(pacer.Reserve(4096, later) == later);
  CHECK(pacer.Reserve(4096, later) > later);
}

TEST(Pacers, NoRateMeansNoLimit) {
  Pacer pacer(0);
  const TimePoint start(Seconds(10));
  for (int piece = 0; piece < 100; ++piece)
    CHECK(pacer.Reserve(4096, start) == start);
}

/** @file blackboard_base.h The blackboard: the state that all parts of a
 * balancer read, with the writer and time of each entry. */

#ifndef CUMINVANE_MEMBER_BLACKBOARD_BASE_H_
#define CUMINVANE_MEMBER_BLACKBOARD_BASE_H_

#include <memory>

#include "base/guarded_type.h"
#include "base/time_type.h"
#include "document/config_type.h"
#include "document/vmlist_type.h"
#include "member/member_type.h"

namespace cuminvane {

/** Component that wrote an entry of the blackboard; kNone means not written
 * yet. */
enum class BlackboardSource : uint8_t {
  kNone,
  kDocuments,
  kMembership,
  kOperator
};

/** One entry of the blackboard. */
template <class T>
struct BlackboardEntry {
  std::shared_ptr<const T> value = std::make_shared<const T>();
  BlackboardSource source = BlackboardSource::kNone;
  TimePoint written_at;  ///< Time of the last write.

  bool operator==(const BlackboardEntry&) const = default;
};

/** State of this balancer within the fleet. */
struct SelfState {
  VmInstance id;                ///< VM and incarnation of this process.
  bool serving = false;         ///< Whether packets of callers are accepted.
  bool stopping = false;        ///< Whether the balancer is stopping; new
                                ///< non-idempotent requests are refused then.
  Incarnation last_clean_exit;  ///< Last incarnation of this VM known to have
                                ///< stopped without owing an answer to any
                                ///< caller; 0 if none is known.
  KeyNumber issue_key;  ///< Number of the token key that seals new tokens.

  bool operator==(const SelfState&) const = default;
};

/** Snapshot of all entries. Values are shared between snapshots and never
 * modified. */
struct BlackboardView {
  BlackboardEntry<Config> config;       ///< Operators' configuration.
  BlackboardEntry<VmList> vms;          ///< Platform's list of VMs.
  BlackboardEntry<MemberView> members;  ///< Other balancers.
  BlackboardEntry<SelfState> self;      ///< This balancer.

  bool operator==(const BlackboardView&) const = default;
};

/**
 * The blackboard. Each controller writes its own entry; readers get a
 * consistent snapshot of all entries.
 * @tparam Mutex Type of the lock.
 */
template <Lockable Mutex>
class Blackboard {
 public:
  /** @return The current snapshot. */
  std::shared_ptr<const BlackboardView> Read() const {
    return this->view.WithLock([](const auto& current) { return current; });
  }

  /**
   * Replaces one entry.
   * @param entry The entry, for example `&BlackboardView::config`.
   * @param value Its new value.
   * @param source The component that writes.
   * @param now The current time, kept with the entry.
   */
  template <class T>
  void Write(BlackboardEntry<T> BlackboardView::*entry,
             std::shared_ptr<const T> value,
             BlackboardSource source,
             TimePoint now) {
    this->view.WithLock([&](std::shared_ptr<const BlackboardView>& current) {
      auto next = std::make_shared<BlackboardView>(*current);
      (*next).*entry = BlackboardEntry<T>{std::move(value), source, now};
      current = std::move(next);
    });
  }

  /**
   * Modifies one entry atomically, so that no concurrent write is lost. An
   * unchanged value keeps its source and time.
   * @param entry The entry, for example `&BlackboardView::self`.
   * @param change Called with the current snapshot and a copy of the value to
   * modify.
   * @param source The component that writes.
   * @param now The current time, kept with the entry.
   */
  template <class T, class Change>
  void Update(BlackboardEntry<T> BlackboardView::*entry,
              Change change,
              BlackboardSource source,
              TimePoint now) {
    this->view.WithLock([&](std::shared_ptr<const BlackboardView>& current) {
      T value = *((*current).*entry).value;
      change(*current, value);
      if (value == *((*current).*entry).value)
        return;
      auto next = std::make_shared<BlackboardView>(*current);
      (*next).*entry = BlackboardEntry<T>{
          std::make_shared<const T>(std::move(value)), source, now};
      current = std::move(next);
    });
  }

 private:
  Guarded<std::shared_ptr<const BlackboardView>, Mutex> view{
      std::make_shared<const BlackboardView>()};
};

}  // namespace cuminvane

#endif  // CUMINVANE_MEMBER_BLACKBOARD_BASE_H_

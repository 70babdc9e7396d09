/** @file blackboard_base.h The blackboard: what this process believes, who said
 * it and when. */

#ifndef CUMINVANE_MEMBER_BLACKBOARD_BASE_H_
#define CUMINVANE_MEMBER_BLACKBOARD_BASE_H_

#include <memory>

#include "base/guarded_type.h"
#include "base/time_type.h"
#include "document/config_type.h"
#include "document/vmlist_type.h"
#include "member/member_type.h"

namespace cuminvane {

/** Who wrote an entry of the blackboard. */
enum class BlackboardSource : uint8_t {
  kNone,
  kDocuments,
  kMembership,
  kOperator
};

/** A belief. */
template <class T>
struct BlackboardEntry {
  std::shared_ptr<const T> value = std::make_shared<const T>();
  BlackboardSource source = BlackboardSource::kNone;
  TimePoint at;

  bool operator==(const BlackboardEntry&) const = default;
};

/** How this process stands towards the fleet. */
struct SelfState {
  VmInstance id;
  bool serving = false;         ///< Callers' packets are taken.
  bool stopping = false;        ///< No new non-idempotent work is taken.
  Incarnation last_clean_exit;  ///< As MemberInfo::last_clean_exit, of this VM.
  KeyNumber issue_key;          ///< Key that new tokens are made with.

  bool operator==(const SelfState&) const = default;
};

/** Every entry of the blackboard at one moment; values are shared, never
 * changed. */
struct BlackboardView {
  BlackboardEntry<Config> config;
  BlackboardEntry<VmList> vms;
  BlackboardEntry<MemberView> members;
  BlackboardEntry<SelfState> self;

  bool operator==(const BlackboardView&) const = default;
};

/**
 * The blackboard. Controllers write their own entry; everybody reads all of
 * them at once.
 * @tparam Mutex Lock of the board.
 */
template <Lockable Mutex>
class Blackboard {
 public:
  /** @return All entries as they stand. */
  std::shared_ptr<const BlackboardView> Read() const {
    return this->view.WithLock([](const auto& current) { return current; });
  }

  /**
   * Replaces one entry.
   * @param entry Which one, for example `&BlackboardView::config`.
   * @param value Its new value.
   * @param source Who writes.
   * @param now When.
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
   * ViewRevision one entry as it stands; no write of another thread is lost.
   * @param entry Which one.
   * @param change Called with the present view and the value to change.
   * @param source Who writes.
   * @param now When.
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

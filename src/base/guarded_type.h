/** @file guarded_type.h A value behind its own lock; the kind of lock is the
 * user's choice. */

#ifndef CUMINVANE_BASE_GUARDED_TYPE_H_
#define CUMINVANE_BASE_GUARDED_TYPE_H_

#include <utility>

namespace cuminvane {

/** A lock that does nothing, for use by one thread alone. */
struct NullMutex {
  void lock() {}
  void unlock() {}
};

template <class M>
concept Lockable = requires(M& mutex) {
  mutex.lock();
  mutex.unlock();
};

/**
 * A value that is only reached with its lock held.
 * @tparam T The value.
 * @tparam Mutex The lock.
 */
template <class T, Lockable Mutex>
class Guarded {
 public:
  template <class... Args>
  explicit Guarded(Args&&... args) : value(std::forward<Args>(args)...) {}

  /**
   * @param use Called with the value while the lock is held.
   * @return What `use` returns.
   */
  template <class Use>
  decltype(auto) With(Use&& use) {
    const Hold hold(this->mutex);
    return std::forward<Use>(use)(this->value);
  }

  /** As the other With, for reading. */
  template <class Use>
  decltype(auto) With(Use&& use) const {
    const Hold hold(this->mutex);
    return std::forward<Use>(use)(this->value);
  }

 private:
  /** Holds the lock for one scope. */
  class Hold {
   public:
    explicit Hold(Mutex& mutex) : mutex(mutex) { this->mutex.lock(); }
    ~Hold() { this->mutex.unlock(); }
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

   private:
    Mutex& mutex;
  };

  mutable Mutex mutex;
  T value;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_GUARDED_TYPE_H_

#pragma once

#include "kvaccess.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hemlock {

/// Keeps writes that the store executes late from undoing newer ones of this process.
///
/// A call without an answer may be executed seconds later. Each put and delete whose transaction does not compare its
/// key is therefore made conditional on the latest known revision of that key: once a newer write was executed, the
/// condition of an earlier one no longer holds. If only such an added condition fails, the transaction is sent again
/// with the revision that the store has told. Transactions that are independent of their order are sent as they are.
class LateWriteGuard
{
public:
    /// Calls of @p kv with conditional writes. This object must outlive the result.
    KvAccess guarded(KvAccess kv);

private:
    using TxnCall = std::function<void(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)>;
    using TxnDone = std::function<void(const KvTxnResult &)>;

    void send(const TxnCall &call, const KvTxn &txn, const TxnDone &done, int resends);
    /// Handles a failed comparison. Returns whether only conditions added by this class failed.
    bool learnRevisions(const KvTxn &txn, const KvTxn &sent, const KvTxnResult &result);
    void recordWritten(const KvTxn &txn, std::int64_t revision);

    std::map<std::string, std::int64_t> revisions; ///< Latest known ones by key; a key that is absent has none.
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock

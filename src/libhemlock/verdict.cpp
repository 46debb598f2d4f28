#include "verdict.h"

namespace hemlock {

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::Ran:
        return "ran";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

} // namespace hemlock

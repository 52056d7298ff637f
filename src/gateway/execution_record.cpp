#include "gateway/execution_record.h"

#include <numeric>

namespace jasminespread {

bool ExecutionRecord::mayHaveRun() const noexcept
{
    return m_dispatchCount > std::accumulate(m_proofCounts.begin(), m_proofCounts.end(), 0U);
}

std::string ExecutionRecord::summary() const
{
    std::string text = "dispatches=" + std::to_string(m_dispatchCount);
    for (const auto& [proof, name] : notRunProofNames) {
        text += ' ' + std::string(name) + '=' + std::to_string(m_proofCounts.at(static_cast<std::size_t>(proof)));
    }
    return text;
}

} // namespace jasminespread

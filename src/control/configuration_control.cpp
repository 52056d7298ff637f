#include "control/configuration_control.h"

#include "config/configuration_fields.h"
#include "config/configuration_transition.h"
#include "config/json_fields.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr const char* configKind = "config";
constexpr const char* configName = "current";

/// Read interval of a delegate once a configuration is in force. These reads only compensate for lost messages.
constexpr Milliseconds delegateReadInterval {2'000};
/// Limit for all starting instances together; a small part of the 2000 reads/s that the store can serve.
constexpr std::size_t startupReadsPerSecond = 200;
/// Minimum time between two copies of the configuration to one peer, and between two requests for it. It exceeds the
/// round trip between regions, so that a heartbeat sent before a copy arrived does not cause another copy.
constexpr Milliseconds resendInterval {500};
/// Time limit for storing a change, including the read-back of a write with unknown outcome.
constexpr Milliseconds changeTimeout {10'000};
/// Number of past revisions kept to recognize repeated changes and to explain conflicts.
constexpr std::size_t rememberedRevisions = 8;

boost::json::array toJsonArray(const std::vector<std::string>& texts)
{
    boost::json::array array;
    for (const std::string& text : texts) {
        array.emplace_back(text);
    }
    return array;
}

std::vector<std::string> describeErrors(const std::vector<Error>& errors)
{
    std::vector<std::string> texts;
    texts.reserve(errors.size());
    for (const Error& error : errors) {
        texts.push_back(describe(error));
    }
    return texts;
}

/// True if two configurations differ at most in revision, author and change id.
bool sameContent(const Configuration& a, const Configuration& b) { return diffConfigurations(a, b).empty(); }

/// Returns the revision of a stored document, or nothing if this program version cannot decode it.
std::optional<std::uint64_t> revisionOf(const std::string& document)
{
    return handleError(
        [&]() -> Result<std::optional<std::uint64_t>> {
            BOOST_LEAF_AUTO(configuration, decodeConfiguration(document));
            return std::optional<std::uint64_t>(configuration.revision);
        },
        [](const Error&) { return std::optional<std::uint64_t>(); });
}

} // namespace

ConfigurationControl::ConfigurationControl(const InstanceSettings& settings, std::uint64_t incarnation)
    : m_settings(settings)
    , m_incarnation(incarnation)
{
}

const Configuration* ConfigurationControl::inForce() const noexcept { return m_inForce ? &*m_inForce : nullptr; }

std::uint64_t ConfigurationControl::revision() const noexcept { return m_inForce ? m_inForce->revision : 0; }

Effects ConfigurationControl::reduce(const TimedEvent& event, const std::vector<PeerInfo>& peers)
{
    m_now = event.now;
    m_peers = &peers;
    m_effects.clear();
    if (const StoreRead* read = std::get_if<StoreRead>(&event.event)) {
        if (read->kind == configKind && read->name == configName) {
            onStoreRead(*read);
        }
    } else if (const StoreWritten* written = std::get_if<StoreWritten>(&event.event)) {
        if (written->kind == configKind && written->name == configName) {
            onStoreWritten(*written);
        }
    } else if (const PeerMessageReceived* message = std::get_if<PeerMessageReceived>(&event.event)) {
        onPeerMessage(message->envelope);
    } else if (const OperatorRequested* request = std::get_if<OperatorRequested>(&event.event)) {
        onOperatorRequest(*request);
    }
    readWhenDue();
    for (OperatorChange& change : m_changes) {
        advanceChange(change);
    }
    std::erase_if(m_changes, [](const OperatorChange& change) { return change.requests.empty(); });
    m_peers = nullptr;
    return std::move(m_effects);
}

void ConfigurationControl::onStoreRead(const StoreRead& read)
{
    const StoreStatus status = read.result.status;
    if (status == StoreStatus::Ok || status == StoreStatus::NotFound) {
        m_absentInStore = status == StoreStatus::NotFound;
    }
    if (status == StoreStatus::Ok && adoptDocument(read.result.object.value, read.result.object.version, "the store")
        && isDelegate()) {
        sendToOwnRegion();
    }
    for (OperatorChange& change : m_changes) {
        if (read.startedAt < change.acceptReadsFrom) {
            continue;
        }
        if (change.stage == ChangeStage::ReadingBase) {
            continueFromBase(change, read);
        } else if (change.stage == ChangeStage::ReadingBack) {
            resolveReadBack(change, read);
        }
    }
}

void ConfigurationControl::onStoreWritten(const StoreWritten& written)
{
    const std::vector<OperatorChange>::iterator it
        = std::find_if(m_changes.begin(), m_changes.end(), [&](const OperatorChange& change) {
              return change.stage == ChangeStage::Writing && change.proposed.changeId == written.changeId;
          });
    if (it == m_changes.end()) {
        return;
    }
    OperatorChange& change = *it;
    switch (written.result.status) {
    case StoreStatus::Ok:
        adoptDocument(encodeConfiguration(change.proposed), written.result.version, "an operator");
        if (change.stage != ChangeStage::Confirming) {
            // adoptDocument() did not start the confirmation because a later revision came into force first.
            startConfirmation(change);
        }
        return;
    case StoreStatus::Unknown:
        change.outcomeUnknown = true;
        log(LogEvent::StoreOutcomeUnknown, "config/current, change " + change.proposed.changeId);
        readForChange(change, ChangeStage::ReadingBack);
        return;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        readForChange(change, ChangeStage::ReadingBack);
        return;
    case StoreStatus::Unavailable:
        if (change.outcomeUnknown) {
            // This write had no effect, but an earlier one of the same change may have had.
            change.stage = ChangeStage::ReadingBack;
            change.acceptReadsFrom = MonotonicTime::max();
            change.nextReadBackAt = m_now + m_settings.storePollInterval;
        } else {
            answerUnavailable(change, "the store is not available and nothing was changed; try again later");
        }
        return;
    }
}

void ConfigurationControl::onPeerMessage(const wire::Envelope& envelope)
{
    const wire::InstanceReference& sender = envelope.sender();
    const PeerInfo* peer = findPeer(sender.id());
    if (envelope.has_heartbeat()) {
        const std::uint64_t peerRevision = envelope.heartbeat().configuration_revision();
        recordPeerRevision(sender, peerRevision);
        requestIfNewer(peerRevision, sender.id());
        // Only the delegate and an instance that waits for confirmations send without a request. The peer itself sends
        // a request to every instance that reports a higher revision.
        const bool confirming = std::any_of(m_changes.begin(), m_changes.end(),
            [](const OperatorChange& change) { return change.stage == ChangeStage::Confirming; });
        if (peerRevision < revision() && peer != nullptr
            && (confirming || (peer->entry.region == m_settings.region && isDelegate()))) {
            sendConfiguration(sender.id());
        }
    } else if (envelope.has_configuration_revision()) {
        const wire::ConfigurationRevision& message = envelope.configuration_revision();
        recordPeerRevision(sender, message.revision());
        const bool adopted = adoptDocument(message.document(), message.object_version(), "instance " + sender.id());
        sendAck(sender.id());
        if (adopted && isDelegate() && (peer == nullptr || peer->entry.region != m_settings.region)) {
            sendToOwnRegion();
        }
    } else if (envelope.has_configuration_request()) {
        const std::uint64_t peerRevision = envelope.configuration_request().known_revision();
        recordPeerRevision(sender, peerRevision);
        requestIfNewer(peerRevision, sender.id());
        if (peerRevision < revision()) {
            sendConfiguration(sender.id());
        }
    } else if (envelope.has_configuration_ack()) {
        recordPeerRevision(sender, envelope.configuration_ack().revision());
        requestIfNewer(envelope.configuration_ack().revision(), sender.id());
    }
}

void ConfigurationControl::onOperatorRequest(const OperatorRequested& request)
{
    if (request.action == OperatorAction::Load) {
        startChange(request);
        return;
    }
    if (request.action != OperatorAction::ShowConfiguration) {
        return;
    }
    OperatorAnswer answer {request.request, 200, ""};
    if (m_inForce) {
        answer.body = boost::json::serialize(
            boost::json::object {{"revision", revision()}, {"configuration", encodeJson(*m_inForce)}});
    } else if (m_absentInStore) {
        answer.body = boost::json::serialize(boost::json::object {{"revision", 0}, {"configuration", nullptr}});
    } else {
        answer.status = 503;
        answer.body = boost::json::serialize(boost::json::object {{"result", "unavailable"},
            {"message", "this instance has not learned of a configuration yet; ask another instance"}});
    }
    m_effects.emplace_back(std::move(answer));
}

void ConfigurationControl::readWhenDue()
{
    if (m_now < m_nextReadAt) {
        return;
    }
    eraseRemovedPeers();
    if (m_inForce) {
        m_nextReadAt = m_now + delegateReadInterval;
        if (!isDelegate()) {
            return;
        }
    } else {
        const Milliseconds sharedRateInterval {
            static_cast<std::int64_t>((m_peers->size() + 1) * 1'000 / startupReadsPerSecond)};
        m_nextReadAt = m_now + std::max(m_settings.storePollInterval, sharedRateInterval);
    }
    m_effects.emplace_back(ReadObject {configKind, configName});
}

std::string ConfigurationControl::delegateOf(const std::string& region) const
{
    std::string lowestReady;
    std::string lowestLive;
    const auto considerCandidate = [&](const std::string& id, bool ready) {
        std::string& lowest = ready ? lowestReady : lowestLive;
        if (lowest.empty() || id < lowest) {
            lowest = id;
        }
    };
    if (region == m_settings.region) {
        considerCandidate(m_settings.instance, m_inForce.has_value());
    }
    for (const PeerInfo& peer : *m_peers) {
        if (peer.live && !peer.leaving && peer.entry.region == region) {
            considerCandidate(peer.entry.id, peer.ready);
        }
    }
    return lowestReady.empty() ? lowestLive : lowestReady;
}

bool ConfigurationControl::adoptDocument(
    const std::string& document, std::uint64_t objectVersion, const std::string& source)
{
    if (m_inForce && document == m_document) {
        m_objectVersion = std::max(m_objectVersion, objectVersion);
        return false;
    }
    std::string reason;
    Configuration configuration = handleError([&]() -> Result<Configuration> { return decodeConfiguration(document); },
        [&](const Error& error) {
            reason = describe(error);
            return Configuration();
        });
    if (reason.empty() && configuration.revision < revision()) {
        return false;
    }
    if (reason.empty() && configuration.revision == revision()) {
        reason = "revision " + std::to_string(revision()) + " differs from the one in force; load a new revision";
    }
    if (reason.empty()) {
        if (const std::vector<Error> errors = checkConfiguration(configuration); !errors.empty()) {
            reason = describe(errors.front());
        }
    }
    if (!reason.empty()) {
        if (document != m_rejectedDocument) {
            m_rejectedDocument = document;
            log(LogEvent::ConfigurationRejected, "from " + source + ": " + reason);
        }
        return false;
    }
    m_inForce = std::move(configuration);
    m_document = document;
    m_objectVersion = objectVersion;
    m_pastConfigurations.push_back(*m_inForce);
    if (m_pastConfigurations.size() > rememberedRevisions) {
        m_pastConfigurations.pop_front();
    }
    log(LogEvent::ConfigurationInForce,
        "revision " + std::to_string(revision()) + " by \"" + m_inForce->author + "\" from " + source);
    m_effects.emplace_back(
        RecordMetric {"jasminespread_configuration_revision", "", static_cast<double>(revision()), true});
    // Regardless of its source, the revision proves that the write with its change id took effect.
    for (OperatorChange& change : m_changes) {
        const bool mayHaveWritten = change.stage == ChangeStage::Writing || change.stage == ChangeStage::ReadingBack;
        if (mayHaveWritten && change.proposed.changeId == m_inForce->changeId) {
            startConfirmation(change);
        }
    }
    return true;
}

void ConfigurationControl::sendToOwnRegion()
{
    for (const PeerInfo& peer : *m_peers) {
        if (peer.live && peer.entry.region == m_settings.region && !hasConfirmed(peer, revision())) {
            sendConfiguration(peer.entry.id);
        }
    }
}

void ConfigurationControl::sendToOtherRegions()
{
    for (const PeerInfo& peer : *m_peers) {
        if (!peer.live || peer.entry.region == m_settings.region || hasConfirmed(peer, revision())) {
            continue;
        }
        if (delegateOf(peer.entry.region) == peer.entry.id) {
            sendConfiguration(peer.entry.id);
        } else {
            // The delegate sends it a copy, so heartbeats already in flight must not be answered with another one.
            recordSent(peer.entry.id);
        }
    }
}

void ConfigurationControl::sendConfiguration(const std::string& to)
{
    const PeerProgress& progress = m_peerProgress[to];
    if (progress.sentRevision == revision() && m_now < progress.sentAt + resendInterval) {
        return;
    }
    recordSent(to);
    SendPeerMessage send;
    send.to = to;
    wire::ConfigurationRevision& message = *send.envelope.mutable_configuration_revision();
    message.set_revision(revision());
    message.set_object_version(m_objectVersion);
    message.set_document(m_document);
    m_effects.emplace_back(std::move(send));
}

void ConfigurationControl::recordSent(const std::string& to)
{
    PeerProgress& progress = m_peerProgress[to];
    progress.sentAt = m_now;
    progress.sentRevision = revision();
}

void ConfigurationControl::sendAck(const std::string& to)
{
    SendPeerMessage send;
    send.to = to;
    send.envelope.mutable_configuration_ack()->set_revision(revision());
    m_effects.emplace_back(std::move(send));
}

void ConfigurationControl::requestIfNewer(std::uint64_t peerRevision, const std::string& peer)
{
    if (peerRevision <= revision() || m_now < m_nextRequestAt) {
        return;
    }
    m_nextRequestAt = m_now + resendInterval;
    SendPeerMessage send;
    send.to = peer;
    send.envelope.mutable_configuration_request()->set_known_revision(revision());
    m_effects.emplace_back(std::move(send));
}

void ConfigurationControl::recordPeerRevision(const wire::InstanceReference& peer, std::uint64_t peerRevision)
{
    PeerProgress& progress = m_peerProgress[peer.id()];
    if (progress.incarnation == peer.incarnation()) {
        progress.revision = std::max(progress.revision, peerRevision);
    } else {
        progress = PeerProgress {peer.incarnation(), peerRevision, 0, MonotonicTime()};
    }
}

void ConfigurationControl::eraseRemovedPeers()
{
    std::erase_if(m_peerProgress, [&](const auto& entry) { return findPeer(entry.first) == nullptr; });
}

void ConfigurationControl::startChange(const OperatorRequested& request)
{
    OperatorChange change;
    change.requests = {request.request};
    change.baseRevision = request.baseRevision;
    change.deadline = m_now + changeTimeout;
    if (!request.configuration) {
        refuseInvalid(change, {"the request has no configuration; send it as the body"});
        return;
    }
    change.proposed = *request.configuration;
    change.proposed.revision = request.baseRevision + 1;
    change.proposed.changeId = request.changeId;
    if (change.proposed.changeId.empty()) {
        change.proposed.changeId = std::to_string(m_incarnation) + "-" + std::to_string(++m_changeIdCounter);
    }
    const std::vector<Error> errors = checkConfiguration(change.proposed);
    if (!errors.empty()) {
        refuseInvalid(change, describeErrors(errors));
        return;
    }
    if (joinPendingChange(change)) {
        return;
    }
    if (!recognizePastChange(change)) {
        readForChange(change, ChangeStage::ReadingBase);
    }
    m_changes.push_back(std::move(change));
}

bool ConfigurationControl::joinPendingChange(OperatorChange& change)
{
    for (OperatorChange& pending : m_changes) {
        if (pending.proposed.changeId != change.proposed.changeId) {
            continue;
        }
        if (sameContent(pending.proposed, change.proposed)) {
            pending.requests.push_back(change.requests.front());
        } else {
            refuseInvalid(change, {"the change id belongs to another change; draw a new one"});
        }
        return true;
    }
    return false;
}

bool ConfigurationControl::recognizePastChange(OperatorChange& change)
{
    const Configuration* past = findPastByChangeId(change.proposed.changeId);
    if (past == nullptr) {
        return false;
    }
    if (sameContent(*past, change.proposed)) {
        change.proposed.revision = past->revision;
        startConfirmation(change);
    } else {
        refuseInvalid(change, {"the change id belongs to another change; draw a new one"});
    }
    return true;
}

void ConfigurationControl::readForChange(OperatorChange& change, ChangeStage stage)
{
    change.stage = stage;
    change.acceptReadsFrom = m_now;
    change.nextReadBackAt = MonotonicTime::max();
    m_effects.emplace_back(ReadObject {configKind, configName});
}

void ConfigurationControl::continueFromBase(OperatorChange& change, const StoreRead& read)
{
    const StoreStatus status = read.result.status;
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound) {
        answerUnavailable(change, "the store is not available and nothing was changed; try again later");
        return;
    }
    if (status == StoreStatus::Ok) {
        // A document that this version cannot decode or accept must not be overwritten by one with a lower revision.
        const std::optional<std::uint64_t> stored = revisionOf(read.result.object.value);
        if (!stored || *stored > revision()) {
            answerUnavailable(change,
                "the stored configuration cannot be put in force by this instance's version and nothing was changed; "
                "use an instance of the newest version");
            return;
        }
    }
    // The read may show that this change was already made through another instance.
    if (recognizePastChange(change)) {
        return;
    }
    if (change.baseRevision != revision()) {
        refuseConflict(change);
        return;
    }
    const std::vector<Error> errors = m_inForce ? checkTransition(*m_inForce, change.proposed) : std::vector<Error>();
    if (!errors.empty()) {
        refuseInvalid(change, describeErrors(errors));
        return;
    }
    writeChange(change, status == StoreStatus::Ok ? read.result.object.version : 0);
}

void ConfigurationControl::writeChange(OperatorChange& change, std::uint64_t expectedVersion)
{
    change.stage = ChangeStage::Writing;
    change.expectedVersion = expectedVersion;
    change.writtenAt = m_now;
    m_effects.emplace_back(WriteObject {
        configKind, configName, expectedVersion, encodeConfiguration(change.proposed), change.proposed.changeId});
}

void ConfigurationControl::resolveReadBack(OperatorChange& change, const StoreRead& read)
{
    const StoreStatus status = read.result.status;
    if (status != StoreStatus::Ok && status != StoreStatus::NotFound) {
        change.acceptReadsFrom = MonotonicTime::max();
        change.nextReadBackAt = m_now + m_settings.storePollInterval;
        return;
    }
    // The object does not contain this change, or adoptDocument() would have started the confirmation.
    const std::uint64_t storedVersion = status == StoreStatus::Ok ? read.result.object.version : 0;
    if (storedVersion == change.expectedVersion) {
        // The write has not taken effect so far, but may still be in flight. It is safe to repeat the same conditional
        // write because only one of the two can succeed.
        const MonotonicTime nextWrite = change.writtenAt + m_settings.storePollInterval;
        if (m_now >= nextWrite) {
            writeChange(change, change.expectedVersion);
        } else {
            change.acceptReadsFrom = MonotonicTime::max();
            change.nextReadBackAt = nextWrite;
        }
        return;
    }
    const std::optional<std::uint64_t> stored
        = status == StoreStatus::Ok ? revisionOf(read.result.object.value) : std::nullopt;
    // Each revision is written once. If another change has the revision of this one, this one was not written and can
    // no longer be, because the version that the write requires no longer exists.
    const bool revisionUsed
        = stored == change.proposed.revision || findPastByRevision(change.proposed.revision) != nullptr;
    if (!change.outcomeUnknown || revisionUsed) {
        refuseConflict(change);
    } else {
        answerUnknown(change,
            "the store lost the answer to the write, and the configuration has been changed again since; compare the "
            "configuration in force with the sheet");
    }
}

void ConfigurationControl::startConfirmation(OperatorChange& change)
{
    change.stage = ChangeStage::Confirming;
    change.deadline = m_now + m_settings.confirmTimeout;
    sendToOwnRegion();
    sendToOtherRegions();
}

void ConfigurationControl::advanceChange(OperatorChange& change)
{
    if (change.requests.empty()) {
        return;
    }
    if (change.stage == ChangeStage::Confirming) {
        checkConfirmation(change);
    } else if (m_now >= change.deadline) {
        if (change.outcomeUnknown || change.stage == ChangeStage::Writing) {
            answerUnknown(change,
                "the store did not answer the write and could not be read back in time; compare the configuration in "
                "force with the sheet once the store answers");
        } else {
            answerUnavailable(change, "the store did not answer in time and nothing was changed; try again later");
        }
    } else if (m_now >= change.nextReadBackAt) {
        readForChange(change, ChangeStage::ReadingBack);
    }
}

void ConfigurationControl::checkConfirmation(OperatorChange& change)
{
    const std::uint64_t proposedRevision = change.proposed.revision;
    boost::json::object regions;
    std::string unconfirmed;
    for (const Region& region : change.proposed.regions) {
        std::vector<std::string> confirmed;
        std::vector<std::string> missing;
        if (region.name == m_settings.region) {
            confirmed.push_back(m_settings.instance);
        }
        for (const PeerInfo& peer : *m_peers) {
            // A silent instance may be paused or cut off and still serve requests by an older revision.
            const bool mayServeRequests = peer.live || peer.entry.state == ListedState::Live;
            if (peer.entry.region == region.name && mayServeRequests) {
                const bool inForce = peer.live && hasConfirmed(peer, proposedRevision);
                (inForce ? confirmed : missing).push_back(peer.entry.id);
            }
        }
        if (confirmed.empty() || !missing.empty()) {
            unconfirmed += (unconfirmed.empty() ? "" : ", ") + region.name;
        }
        regions[region.name]
            = boost::json::object {{"confirmed", toJsonArray(confirmed)}, {"missing", toJsonArray(missing)}};
    }
    if (unconfirmed.empty()) {
        finishChange(change, 200, {{"result", "accepted"}, {"revision", proposedRevision}, {"regions", regions}});
    } else if (m_now >= change.deadline) {
        log(LogEvent::ConfigurationUnconfirmed,
            "revision " + std::to_string(proposedRevision) + ", regions: " + unconfirmed);
        finishChange(
            change, 202, {{"result", "stored-not-confirmed"}, {"revision", proposedRevision}, {"regions", regions}});
    }
}

bool ConfigurationControl::hasConfirmed(const PeerInfo& peer, std::uint64_t proposedRevision) const
{
    if (peer.configurationRevision >= proposedRevision) {
        return true;
    }
    const std::map<std::string, PeerProgress>::const_iterator it = m_peerProgress.find(peer.entry.id);
    return it != m_peerProgress.end() && it->second.incarnation == peer.incarnation
        && it->second.revision >= proposedRevision;
}

void ConfigurationControl::refuseInvalid(OperatorChange& change, const std::vector<std::string>& errors)
{
    log(LogEvent::ConfigurationRejected, "from an operator: " + errors.front());
    finishChange(change, 400, {{"result", "invalid"}, {"errors", toJsonArray(errors)}});
}

void ConfigurationControl::refuseConflict(OperatorChange& change)
{
    const Configuration current = m_inForce.value_or(Configuration());
    const Configuration* base = findPastByRevision(change.baseRevision);
    const bool baseIsPast = base != nullptr && base->revision < current.revision;
    const std::vector<std::string> differences
        = baseIsPast ? diffConfigurations(*base, current) : diffConfigurations(current, change.proposed);
    log(LogEvent::ConfigurationRejected,
        "change based on revision " + std::to_string(change.baseRevision) + " conflicts with revision "
            + std::to_string(current.revision));
    finishChange(change, 409,
        {{"result", "conflict"}, {"revision", current.revision}, {"author", current.author},
            {"compared", baseIsPast ? "base-to-current" : "current-to-proposed"},
            {"differences", toJsonArray(differences)}});
}

void ConfigurationControl::answerUnknown(OperatorChange& change, const std::string& message)
{
    finishChange(change, 502, {{"result", "unknown"}, {"message", message}});
}

void ConfigurationControl::answerUnavailable(OperatorChange& change, const std::string& message)
{
    finishChange(change, 503, {{"result", "unavailable"}, {"message", message}});
}

void ConfigurationControl::finishChange(OperatorChange& change, unsigned status, boost::json::object body)
{
    m_effects.emplace_back(RecordMetric {"jasminespread_configuration_changes_total",
        "result=\"" + std::string(body.at("result").as_string()) + "\"", 1, false});
    const std::string text = boost::json::serialize(body);
    for (const std::uint64_t request : change.requests) {
        m_effects.emplace_back(OperatorAnswer {request, status, text});
    }
    change.requests.clear();
}

const Configuration* ConfigurationControl::findPastByChangeId(const std::string& changeId) const
{
    const std::deque<Configuration>::const_iterator it = std::find_if(m_pastConfigurations.begin(),
        m_pastConfigurations.end(), [&](const Configuration& past) { return past.changeId == changeId; });
    return it == m_pastConfigurations.end() ? nullptr : &*it;
}

const Configuration* ConfigurationControl::findPastByRevision(std::uint64_t pastRevision) const
{
    const std::deque<Configuration>::const_iterator it = std::find_if(m_pastConfigurations.begin(),
        m_pastConfigurations.end(), [&](const Configuration& past) { return past.revision == pastRevision; });
    return it == m_pastConfigurations.end() ? nullptr : &*it;
}

void ConfigurationControl::log(LogEvent event, const std::string& details)
{
    m_effects.emplace_back(WriteLog {event, details});
}

const PeerInfo* ConfigurationControl::findPeer(const std::string& id) const
{
    const std::vector<PeerInfo>::const_iterator it
        = std::find_if(m_peers->begin(), m_peers->end(), [&](const PeerInfo& peer) { return peer.entry.id == id; });
    return it == m_peers->end() ? nullptr : &*it;
}

} // namespace jasminespread

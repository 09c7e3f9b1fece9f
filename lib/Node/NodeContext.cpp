//===- lib/Node/NodeContext.cpp - state shared by the parts of a node -----===//
///
/// \file
/// See NodeContext.h.
//===----------------------------------------------------------------------===//
#include "NodeContext.h"

#include "generated/Peer.pb.h"
#include <boost/asio.hpp>

namespace pistachioloom {

static KeepAlive makeKeepAlive(const PeerSettings& settings)
{
    return { settings.keepAlive_, static_cast<int>(settings.closeIdleAfter_ / settings.keepAlive_) };
}

NodeContext::NodeContext(Settings settings, const asio::any_io_executor& executor)
    : settings_(std::move(settings))
    , executor_(executor)
    , tracer_(settings_.maxSpans_)
    , log_(makeHttpLogService(settings_.log_, settings_.dataCentre_.value_))
    , vmList_(makeHttpVmListService(settings_.vmList_, settings_.dataCentre_.value_))
    , engines_(makeHttpEngineService())
    , keepAlive_(makeKeepAlive(settings_.peerLinks_))
    , peers_(
          executor, settings_.peerCredential_, [this](const Error& error) {
              metrics_.add(Counter::PeerErrors);
              logger_.warn("Peer link failed: " + describe(error) + ".");
          },
          keepAlive_)
    , membership_(std::make_shared<const MembershipView>())
    , catalogue_(std::make_shared<const CatalogueView>())
    , logger_("wire")
{
}

MembershipPtr NodeContext::membership() const
{
    return membership_.read([](const MembershipPtr& view) { return view; });
}

CataloguePtr NodeContext::catalogue() const
{
    return catalogue_.read([](const CataloguePtr& view) { return view; });
}

void NodeContext::publish(MembershipView view)
{
    membership_.publish(std::make_shared<const MembershipView>(std::move(view)));
}

void NodeContext::publish(CatalogueView view)
{
    catalogue_.publish(std::make_shared<const CatalogueView>(std::move(view)));
}

std::optional<Endpoint> NodeContext::peerEndpoint(const VmId& vm) const
{
    auto view = membership();
    const Vm* found = view->find(vm);
    if (!found || found->kind_ != Vm::Kind::Entry)
        return std::nullopt;
    return Endpoint { found->host_, found->port_ };
}

std::optional<Endpoint> NodeContext::backendEndpoint(const VmId& vm) const
{
    auto view = membership();
    const Vm* found = view->find(vm);
    if (!found || !found->isBackendServer())
        return std::nullopt;
    return Endpoint { found->host_, found->port_ };
}

asio::awaitable<Result<wire::Frame>> NodeContext::call(VmId vm, const wire::Frame& request, milliseconds timeout)
{
    auto endpoint = peerEndpoint(vm);
    if (!endpoint)
        co_return unavailable("call peer", vm.value_, "not in the VM list");
    co_return co_await peers_.call(*endpoint, request, timeout);
}

asio::awaitable<Result<std::shared_ptr<PeerStream>>> NodeContext::open(VmId vm, const wire::Frame& request, milliseconds timeout)
{
    auto endpoint = peerEndpoint(vm);
    if (!endpoint)
        co_return unavailable("open stream", vm.value_, "not in the VM list");
    co_return co_await peers_.open(*endpoint, request, timeout);
}

void NodeContext::spawn(asio::awaitable<void> task) const
{
    auto report = [logger = logger_](const std::exception_ptr& failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& exception) {
            logger.error(std::string("Task ended with an exception: ") + exception.what() + ".");
        }
    };
    // co_spawn alone may run the task immediately, while the caller holds a
    // lock. Posting it defers the start.
    auto strand = asio::make_strand(executor_);
    asio::post(strand, [strand, report, task = std::move(task)]() mutable { asio::co_spawn(strand, std::move(task), report); });
}

Error unavailable(std::string step, std::string peer, std::string message)
{
    return { Errc::Unavailable, std::move(step), std::move(peer), std::move(message), Ran::No, {} };
}

} // namespace pistachioloom

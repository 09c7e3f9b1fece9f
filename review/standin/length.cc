// The first server spoils some of its answers: the digits of the length are repeated, and the answer
// breaks off. See claim.txt beside run.sh.
#include "small.hh"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    SmallDeployment deployment(argv[1], argv[2]);
    std::atomic<unsigned> spoilt { 0 };
    deployment.servers_[0].fault_ = [&](int fd, const Message& request, const std::string& head, const std::string& body) {
        if (!deployment.isFaultDue())
            return false;
        ++spoilt;
        deployment.record_.line("server i-1 spoils the length in the answer to %s", request.field("X-Pistachioloom-Attempt-Id").c_str());
        sendAll(fd, head + "Content-Length: 800800800800800800\r\n\r\n" + body);
        return true;
    };
    if (!deployment.start())
        _exit(2);
    deployment.run();

    int served = 0;
    int longer = 0;
    int unanswered = 0;
    int lost = 0;
    for (const Outcome& outcome : deployment.outcomes_) {
        served += outcome.status_ == 200;
        bool isLonger = outcome.lastedS_ * 1000 > timeoutMs;
        longer += isLonger;
        unanswered += isLonger && (outcome.end_ != ReadEnd::Complete || outcome.lastedS_ * 1000 > timeoutMs + 500);
        lost += outcome.isKept_ && outcome.end_ == ReadEnd::Closed && deployment.ranAtSound_.contains(outcome.id_);
    }
    bool isConfigBroken = unanswered >= 8 && 4 * unanswered > longer;
    bool isLostBroken = lost > 3;
    Record& record = deployment.record_;
    record.line("requests %zu, served %d, answers spoilt %u", deployment.outcomes_.size(), served, spoilt.load());
    record.line("processes that ended by themselves: %d", deployment.ownEnds_);
    record.line("CONFIG: %d requests lasted longer than timeout_ms, %d of them had no final answer 0.5 s after it: %s", longer, unanswered, isConfigBroken ? "BROKEN" : "held");
    record.line("LOST: %d requests passed on to a sound server, whose kept connection was closed without an answer: %s", lost, isLostBroken ? "BROKEN" : "held");
    _exit(isLostBroken ? 1 : 0);
}

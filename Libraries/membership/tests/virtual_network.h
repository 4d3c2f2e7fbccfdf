#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "siskinwharf/membership/endpoint_directory.h"
#include "siskinwharf/membership/member_table.h"

namespace siskinwharf::membership {

/// Member tables and endpoint directories that exchange messages in virtual time, with loss, partitions and
/// frozen processes. Requests and replies are never lost, as over TCP, except in a partition.
class virtual_network {
public:
    struct node {
        member_table members;
        endpoint_directory endpoints;
        std::vector<member_event> events;
        std::vector<std::function<void()>> inbox; ///< Messages that came while the process was frozen.
        bool running = true;
        bool frozen = false;
    };

    virtual_network(std::size_t size, double loss, std::uint64_t seed) : m_random(seed), m_loss(loss)
    {
        for (std::size_t index = 0; index < size; ++index) {
            nodes.push_back(
                {member_table({}, id_of(index), contact_of(index), 1'000'000 + index), {}, {}, {}});
        }
        for (std::size_t index = 0; index < size; ++index)
            at(milliseconds(m_random() % 1000), [this, index] { tick(index); });
    }

    // Queued actions refer to this object.
    virtual_network(const virtual_network&) = delete;
    virtual_network& operator=(const virtual_network&) = delete;
    virtual_network(virtual_network&&) = delete;
    virtual_network& operator=(virtual_network&&) = delete;
    ~virtual_network() = default;

    static instance_id id_of(std::size_t index)
    {
        return instance_id("entry-" + std::to_string(100 + index));
    }
    static peer::address contact_of(std::size_t index)
    {
        return {"10.0.0." + std::to_string(index), static_cast<std::uint16_t>(7000 + index)};
    }

    /// The instance list with the first `count` nodes.
    static std::vector<listed_instance> list_of(std::size_t count)
    {
        std::vector<listed_instance> result;
        for (std::size_t index = 0; index < count; ++index)
            result.push_back({id_of(index), contact_of(index), false});
        return result;
    }

    /// Gives every node the same instance list.
    void list(const std::vector<listed_instance>& instances)
    {
        for (std::size_t index = 0; index < nodes.size(); ++index)
            perform(index, nodes[index].members.apply_instance_list(now, instances));
    }

    void run(milliseconds duration)
    {
        const monotonic_time end = now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            auto entry = m_queue.extract(m_queue.begin());
            now = entry.key();
            entry.mapped()();
        }
        now = end;
    }

    /// Lets a frozen process go on. Its timers run before it reads the messages that came meanwhile.
    void thaw(std::size_t index)
    {
        nodes[index].frozen = false;
        perform(index, nodes[index].members.tick(now, m_random));
        for (const auto& deliver : std::exchange(nodes[index].inbox, {}))
            deliver();
    }

    void perform(std::size_t index, const member_output& output)
    {
        node& self = nodes[index];
        self.events.insert(self.events.end(), output.events.begin(), output.events.end());
        const auto changes = self.endpoints.apply_notices(now, output.notices);
        self.members.relay(changes.relay);
        for (const auto& message : output.messages)
            send(index, message);
    }

    /// Whether every running node sees all other nodes in the given state or, if they run, alive.
    [[nodiscard]] bool
    agree(const std::function<peer::member_state(std::size_t, std::size_t)>& expected) const
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            const auto members = nodes[index].members.members();
            if (nodes[index].running && members.size() != nodes.size() - 1)
                return false;
            for (const auto& member : members) {
                if (nodes[index].running && member.state != expected(index, index_of(member.member)))
                    return false;
            }
        }
        return true;
    }

    [[nodiscard]] bool all_alive() const
    {
        return agree([](std::size_t, std::size_t) { return peer::member_state::alive; });
    }

    [[nodiscard]] std::size_t count(member_change change) const
    {
        std::size_t result = 0;
        for (const auto& self : nodes) {
            for (const auto& event : self.events)
                result += event.change == change ? 1 : 0;
        }
        return result;
    }

    static std::size_t index_of(const instance_id& id) { return std::stoul(id.value().substr(6)) - 100; }

    std::vector<node> nodes;
    monotonic_time now;
    std::function<void(std::size_t, const outgoing_message&)> on_send;
    std::function<bool(std::size_t, std::size_t)> reachable; ///< Everyone reaches everyone if empty.

private:
    void at(milliseconds delay, std::function<void()> action)
    {
        m_queue.emplace(now + delay, std::move(action));
    }

    void tick(std::size_t index)
    {
        node& self = nodes[index];
        if (self.running && !self.frozen)
            perform(index, self.members.tick(now, m_random));
        at(member_tick_period, [this, index] { tick(index); });
    }

    void send(std::size_t index, const outgoing_message& message)
    {
        if (on_send)
            on_send(index, message);
        const bool lost = message.how == delivery::datagram && std::bernoulli_distribution(m_loss)(m_random);
        const std::size_t recipient = index_of(message.recipient);
        if (lost || (reachable && !reachable(index, recipient)))
            return;
        at(milliseconds(1 + m_random() % 3),
           [this, index, recipient, body = message.body] { deliver(index, recipient, body); });
    }

    void deliver(std::size_t sender, std::size_t recipient, const peer::message& body)
    {
        node& self = nodes[recipient];
        if (!self.running)
            return;
        if (self.frozen) {
            self.inbox.emplace_back([this, sender, recipient, body] { deliver(sender, recipient, body); });
            return;
        }
        auto output = self.members.receive(now, m_random, id_of(sender), contact_of(sender), body);
        for (auto& message : output.messages) {
            if (auto* sync = std::get_if<peer::member_sync>(&message.body))
                sync->state.endpoints = self.endpoints.departed();
        }
        perform(recipient, output);
    }

    std::mt19937_64 m_random;
    double m_loss;
    std::multimap<monotonic_time, std::function<void()>> m_queue;
};

} // namespace siskinwharf::membership

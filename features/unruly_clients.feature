@fleet
Feature: Clients that do not keep to the limits
  Guards against an instance that ends, hangs, outgrows its machine or serves nobody because of such clients, at each
  path of its listeners: a plain and a streaming route, no route, readiness and directory. One instance, the store and
  two endpoints run as processes. The crowds and the bounds were fixed on 6faa509, before the product was changed.

  Background:
    Given an instance with 96 MB and 400 descriptors, and limits that crowds of 80 and 600 reach

  Scenario Outline: A crowd that stops short of the end of bodies sent in one piece
    Guards against an instance that keeps the bodies of many requests whose end never comes.
    When a crowd at <path> stops short of the end of bodies sent in one piece
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that stops short of the end of bodies sent in small pieces
    Guards against bodies that are held without limit because each piece of them is small.
    When a crowd at <path> stops short of the end of bodies sent in small pieces
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that stops short of the end of bodies sent in chunks
    Guards against bodies without a declared length that are held without limit.
    When a crowd at <path> stops short of the end of bodies sent in chunks
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that sends bodies far over the limit
    Guards against an instance that keeps what it will refuse, and against one that fails at declared lengths.
    When a crowd at <path> sends bodies far over the limit
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that sends requests of very many short fields
    Guards against fields that take many times their bytes in memory and are not counted.
    When a crowd at <path> sends requests of very many short fields
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that sends many requests ahead and reads no answer
    Guards against requests that wait in memory while answers are unread.
    When a crowd at <path> sends many requests ahead and reads no answer
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that sends very slowly
    Guards against connections that are occupied by clients which never complete a request.
    When a crowd at <path> sends very slowly
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that reads very slowly
    Guards against answers that wait in memory for clients which hardly read them.
    When a crowd at <path> reads very slowly
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |

  Scenario Outline: A crowd that stops half-way
    Guards against requests, answers and connections that are kept when a client stops in their midst.
    When a crowd at <path> stops half-way
    Then ordinary callers are served while it is connected
    When the crowd has left
    Then the largest requests within the limits are served
    And the process has stayed within its memory and descriptors

    Examples:
      | path         |
      | /look/x      |
      | /draft/x     |
      | /nowhere     |
      | /api/ready   |
      | /api/resolve |
